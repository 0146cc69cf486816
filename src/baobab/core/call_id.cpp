#include "baobab/core/call_id.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace baobab {

std::string
ToString(const CallId& aId)
{
  std::array<char, 40> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016" PRIx64 "-%" PRIx64,
                aId.sender,
                aId.sequence);
  return text.data();
}

}
