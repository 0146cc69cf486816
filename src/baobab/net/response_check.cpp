#include "response_check.hpp"

namespace baobab {

std::optional<std::string>
FindMalformedPart(const http::response_header<>& aHead)
{
  if (!IsDefinedStatus(aHead.result_int())) {
    return "undefined status " + std::to_string(aHead.result_int());
  }
  return std::nullopt;
}

}
