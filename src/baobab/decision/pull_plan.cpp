#include "baobab/decision/pull_plan.hpp"

namespace baobab {
namespace {

/// Pulls that run at the same time at most.
constexpr std::size_t kMaxPulls = 3;

/// Time after which a pull counts as slow; several round trips between regions.
constexpr Duration kSlowPull = 250ms;

}

bool
PullPlan::TryStartPull(std::uint64_t aGeneration,
                       std::uint64_t aCurrentGeneration,
                       TimePoint aNow)
{
  const bool mayStart =
    this->running == 0 ||
    (this->running < kMaxPulls && aNow - this->startedAt > kSlowPull);
  if (aGeneration <= aCurrentGeneration || !mayStart) {
    return false;
  }
  ++this->running;
  this->startedAt = aNow;
  return true;
}

}
