/// @file
#pragma once

#include "baobab/core/time.hpp"

namespace baobab {

/// Returns the current monotonic time. The decision code does not call it; it
/// receives time as an argument.
inline TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

}
