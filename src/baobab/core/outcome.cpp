#include "baobab/core/outcome.hpp"

namespace baobab {

std::string_view
Name(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::Overloaded:
      return "overloaded";
    case RefusalReason::Leaving:
      return "leaving";
    case RefusalReason::NotReady:
      return "not-ready";
    case RefusalReason::Expired:
      return "expired";
    case RefusalReason::Fenced:
      return "fenced";
    case RefusalReason::Quarantined:
      return "quarantined";
    case RefusalReason::Unreachable:
      return "unreachable";
    case RefusalReason::NoTarget:
      return "no-target";
    case RefusalReason::WrongService:
      return "wrong-service";
    case RefusalReason::TooLarge:
      return "too-large";
    case RefusalReason::Cancelled:
      return "cancelled";
  }
  return "overloaded";
}

}
