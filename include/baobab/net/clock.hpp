/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <ctime>

namespace baobab {

/// Returns the current monotonic time. The decision code does not call it; it
/// receives time as an argument.
inline TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/// Returns the current time of a clock that counts suspension.
inline BootTime
BootNow()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return BootTime(std::chrono::seconds(time.tv_sec) +
                  std::chrono::nanoseconds(time.tv_nsec));
}

}
