/// @file
#pragma once

#include <cstdint>

namespace baobab {

/// Load of one target as its daemon saw it when a message left.
struct LoadReport
{
  std::uint16_t running = 0;
  std::uint16_t queued = 0;
  std::uint16_t slots = 0;
  /// Time that work takes on the target's host now, in percent of the usual.
  std::uint16_t slowness = 100;

  bool operator==(const LoadReport&) const = default;
};

}
