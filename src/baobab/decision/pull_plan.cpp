#include "baobab/decision/pull_plan.hpp"

namespace baobab {
namespace {

/// Pulls that run together at most.
constexpr std::size_t kMostPulls = 3;

/// Time after which a pull that has not ended is taken for slow; several round
/// trips between regions.
constexpr Duration kSlowPull = 250ms;

}

bool
PullPlan::TryStartPull(std::uint64_t aGeneration,
                       std::uint64_t aInForce,
                       TimePoint aNow)
{
  const bool free = this->running == 0 || (this->running < kMostPulls &&
                                           aNow - this->startedAt > kSlowPull);
  if (aGeneration <= aInForce || !free) {
    return false;
  }
  ++this->running;
  this->startedAt = aNow;
  return true;
}

}
