/// @file
#pragma once

#include "baobab/core/time.hpp"

namespace baobab {

/// The present time of the shells around the decision code.
inline TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

}
