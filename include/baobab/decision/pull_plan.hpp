/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace baobab {

/// Decides when a configuration is pulled from a peer that has a newer one.
/// While a pull takes long, another peer is asked as well: the first may be
/// cut off, or busy with many others.
class PullPlan
{
public:
  /// A peer has a generation. Returns true if it is asked for it.
  bool TryStartPull(std::uint64_t aGeneration,
                    std::uint64_t aInForce,
                    TimePoint aNow);

  /// A pull is over, whatever came of it.
  void EndPull() { --this->running; }

private:
  std::size_t running = 0;
  TimePoint startedAt;
};

}
