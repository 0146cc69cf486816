#include "baobab/decision/pull_plan.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Pulls that may start within kPullPeriod. A paused peer takes a connection
/// and says nothing, so a limit on those that run would be used up by such
/// peers.
constexpr std::size_t kMaxPulls = 3;
constexpr Duration kPullPeriod = 1s;

/// Pulls that run at the same time at most, hanging ones included.
constexpr std::size_t kMaxRunning = 12;

/// Time after which a pull counts as slow; several round trips between regions.
constexpr Duration kSlowPull = 250ms;

}

bool
PullPlan::TryStartPull(std::uint64_t aGeneration,
                       std::uint64_t aCurrentGeneration,
                       TimePoint aNow)
{
  std::erase_if(this->startedAt,
                [&](TimePoint aStart) { return aNow - aStart >= kPullPeriod; });
  const bool mayStart =
    this->running == 0 ||
    (std::min(this->running, this->startedAt.size()) < kMaxPulls &&
     this->running < kMaxRunning &&
     (this->startedAt.empty() || aNow - this->startedAt.back() > kSlowPull));
  if (aGeneration <= aCurrentGeneration || !mayStart) {
    return false;
  }
  ++this->running;
  this->startedAt.push_back(aNow);
  return true;
}

}
