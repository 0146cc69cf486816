/// @file
#pragma once

#include <cstdint>

namespace baobab {

/// Load of a target, as known to its daemon when the report is sent.
struct LoadReport
{
  /// Calls that the target is running.
  std::uint16_t running = 0;
  /// Calls that wait in the daemon's queue.
  std::uint16_t queued = 0;
  /// Calls that the target can run at the same time.
  std::uint16_t slots = 0;
  /// Current service time on the target's host, in percent of the usual one.
  std::uint16_t slowness = 100;

  bool operator==(const LoadReport&) const = default;
};

}
