#include "baobab/core/answer_check.hpp"

#include "baobab/core/http_syntax.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Returns true for fields that frame a message on one connection. Daemons do
/// not pass them on.
bool
IsFraming(std::string_view aName)
{
  return SameHeaderName(aName, "Content-Length") ||
         SameHeaderName(aName, "Transfer-Encoding");
}

}

std::optional<std::string>
FindMalformedPart(const Response& aResponse)
{
  if (!IsDefinedStatus(aResponse.status) || IsInterim(aResponse.status)) {
    return "status " + std::to_string(aResponse.status) +
           " of a final response";
  }
  const auto& headers = aResponse.headers;
  if (!std::ranges::all_of(headers, IsToken, &HeaderField::name)) {
    return "field name";
  }
  if (!std::ranges::all_of(headers, IsFieldValue, &HeaderField::value)) {
    return "field value";
  }
  if (std::ranges::any_of(headers, IsFraming, &HeaderField::name)) {
    return "field that frames a message";
  }
  return std::nullopt;
}

}
