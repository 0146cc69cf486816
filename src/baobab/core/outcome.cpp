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
    case RefusalReason::Shed:
      return "shed";
    case RefusalReason::WrongInstance:
      return "wrong-instance";
    case RefusalReason::RateLimited:
      return "rate-limited";
    case RefusalReason::Evacuated:
      return "evacuated";
    case RefusalReason::WarmingUp:
      return "warming-up";
    case RefusalReason::RegionFull:
      return "region-full";
    case RefusalReason::OverQuota:
      return "over-quota";
    case RefusalReason::KeysOutdated:
      return "keys-outdated";
    case RefusalReason::OutOfMemory:
      return "out-of-memory";
  }
  return "overloaded";
}

std::string_view
Describe(UnknownCause aCause)
{
  switch (aCause) {
    case UnknownCause::LinkLost:
      return "the connection to the target was lost during the call";
    case UnknownCause::DaemonRestarted:
      return "the target's daemon restarted during the call";
    case UnknownCause::TargetFailed:
      return "the target failed during the call";
    case UnknownCause::DeadlinePassed:
      return "the deadline passed during the call";
    case UnknownCause::AnswerTooLarge:
      return "the answer is larger than the service's limit";
    case UnknownCause::Cancelled:
      return "the call was cancelled";
  }
  return "";
}

}
