#include "baobab/core/answer_check.hpp"

#include "baobab/core/http_syntax.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace baobab {
namespace {

/// Returns true for fields that frame a message on one connection. Daemons do
/// not pass them on.
bool
IsFraming(std::string_view aName)
{
  constexpr std::array<std::string_view, 2> kFraming = { "content-length",
                                                         "transfer-encoding" };
  return std::ranges::any_of(kFraming, [&](std::string_view aFraming) {
    return std::ranges::equal(aFraming, aName, {}, {}, ::tolower);
  });
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
