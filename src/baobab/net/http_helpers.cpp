#include "baobab/core/http_syntax.hpp"
#include "baobab/net/http_server.hpp"

#include <algorithm>

namespace baobab {

std::string_view
FindHeader(const std::vector<HeaderField>& aHeaders, std::string_view aName)
{
  const auto found =
    std::ranges::find_if(aHeaders, [&](const HeaderField& aField) {
      return SameHeaderName(aField.name, aName);
    });
  return found == aHeaders.end() ? std::string_view() : found->value;
}

std::string_view
WithoutPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.find(':'));
}

Response
TextResponse(unsigned aStatus, std::string aBody, std::string_view aType)
{
  return { aStatus,
           { { "Content-Type", std::string(aType) } },
           std::move(aBody) };
}

}
