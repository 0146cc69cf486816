#include "response_check.hpp"

namespace baobab {

std::optional<std::string>
FindMalformedPart(const http::response_header<>& aHead)
{
  if (aHead.result() == http::status::switching_protocols) {
    return "switch to a protocol that was not requested";
  }
  if (!IsDefinedStatus(aHead.result_int())) {
    return "undefined status " + std::to_string(aHead.result_int());
  }
  return std::nullopt;
}

}
