#include "http_convert.hpp"

#include "baobab/core/http_syntax.hpp"

#include <algorithm>
#include <array>

namespace baobab {

bool
IsHopByHop(std::string_view aName)
{
  constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection", "keep-alive",       "transfer-encoding",
    "te",         "trailer",          "upgrade",
    "expect",     "proxy-connection", "content-length",
  };
  return std::ranges::any_of(kHopByHop, [&](std::string_view aHopByHop) {
    return SameHeaderName(aHopByHop, aName);
  });
}

bool
HasNoBody(std::string_view aMethod, unsigned aStatus)
{
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aMethod == "HEAD" || aStatus == kNoContent ||
         aStatus == kNotModified || aStatus < 200;
}

}
