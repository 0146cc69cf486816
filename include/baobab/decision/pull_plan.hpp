/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace baobab {

/// Decides when to pull the configuration from a peer that has a newer one. If
/// a pull takes long, another peer is asked as well, because the first one may
/// be unreachable or busy with many other pulls. A pull that hangs does not
/// keep others from being started.
class PullPlan
{
public:
  /// Called when a peer reports a generation. Returns true if a pull from this
  /// peer starts now.
  /// @param aGeneration generation that the peer reports
  /// @param aCurrentGeneration generation in force at this daemon
  bool TryStartPull(std::uint64_t aGeneration,
                    std::uint64_t aCurrentGeneration,
                    TimePoint aNow);

  /// Records the end of a pull, successful or not.
  void EndPull() { --this->running; }

private:
  std::size_t running = 0;
  /// Times of the latest starts, the last one at the end.
  std::vector<TimePoint> startedAt;
};

}
