#include "baobab/decision/store_freshness.hpp"

#include <algorithm>
#include <utility>

namespace baobab {
namespace {

/// Longest time between two checks that counts, so that a daemon that was
/// paused does not ask at once.
constexpr Duration kMaxCheckPeriod = 200ms;

}

void
StoreFreshness::Confirm(StoreConfirmation aConfirmation)
{
  if (!this->latest || aConfirmation.generation > this->latest->generation ||
      (aConfirmation.generation == this->latest->generation &&
       aConfirmation.askedAt > this->latest->askedAt)) {
    this->latest = std::move(aConfirmation);
  }
}

void
StoreFreshness::Merge(std::uint64_t aGeneration,
                      const ConfirmationAge& aConfirmation,
                      TimePoint aNow)
{
  this->Confirm(
    { aGeneration, aNow - aConfirmation.age, aConfirmation.position });
}

std::optional<ConfirmationAge>
StoreFreshness::Current(std::uint64_t aGeneration, TimePoint aNow) const
{
  if (!this->latest || this->latest->generation > aGeneration) {
    return std::nullopt;
  }
  // Rounded up: a confirmation must not seem newer than it is.
  return ConfirmationAge{ std::chrono::ceil<Millis>(std::max(
                            aNow - this->latest->askedAt, Duration::zero())),
                          this->latest->position };
}

bool
StoreFreshness::ShouldAsk(std::uint64_t aGeneration,
                          std::size_t aMembers,
                          TimePoint aNow)
{
  const Duration elapsed =
    std::min<Duration>(aNow - this->lastCheck.value_or(aNow), kMaxCheckPeriod);
  this->lastCheck = aNow;
  const auto confirmation = this->Current(aGeneration, aNow);
  if (confirmation && confirmation->age <= kFreshTime) {
    return false;
  }
  const Duration meanInterval =
    kFleetInterval *
    static_cast<std::int64_t>(std::max<std::size_t>(1, aMembers));
  return UniformFraction(this->random) * meanInterval < elapsed;
}

}
