#include "baobab/node/headers.hpp"

#include <algorithm>
#include <cctype>

namespace baobab {

bool
IsReservedHeader(std::string_view aName)
{
  constexpr std::string_view kPrefix = "baobab-";
  return aName.size() > kPrefix.size() &&
         std::ranges::equal(
           aName.substr(0, kPrefix.size()), kPrefix, {}, ::tolower);
}

}
