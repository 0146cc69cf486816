#include "baobab/decision/tier_choice.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// True if the offer's tier may be used instead of the nearest one.
bool
IsBetterPlace(const TierOffer& aOffer, const TierOffer& aNearest)
{
  return aOffer.hasRoom && aOffer.expectedTime + aOffer.penalty <
                             aNearest.expectedTime + aNearest.penalty;
}

/// Returns the tier with the lowest cost of those that may be used and whose
/// expected time is not longer.
std::optional<Tier>
CheapestWithin(std::span<const TierOffer> aOffers, Duration aTime)
{
  const auto usable = [&](const TierOffer& aOffer) {
    return aOffer.expectedTime <= aTime &&
           (aOffer.hasRoom || &aOffer == aOffers.data());
  };
  const auto cost = [&](const TierOffer& aOffer) {
    return usable(aOffer) ? aOffer.expectedTime + aOffer.penalty
                          : Duration::max();
  };
  const auto best = std::ranges::min_element(aOffers, {}, cost);
  return usable(*best) ? std::optional(best->tier) : std::nullopt;
}

}

std::optional<Tier>
ChooseTier(std::span<const TierOffer> aOffers, const TierTerms& aTerms)
{
  if (aOffers.empty()) {
    return std::nullopt;
  }
  const TierOffer& nearest = aOffers.front();
  const auto farther = aOffers.subspan(1);
  const auto nearestWithin = [&](Duration aTime, double aMargin) {
    const auto within = [&](const TierOffer& aOffer) {
      return aOffer.expectedTime * aMargin <= aTime;
    };
    if (within(nearest)) {
      return std::optional(nearest.tier);
    }
    const auto found =
      std::ranges::find_if(farther, [&](const TierOffer& aOffer) {
        return within(aOffer) && IsBetterPlace(aOffer, nearest);
      });
    return found != farther.end() ? std::optional(found->tier) : std::nullopt;
  };
  if (const auto safe = nearestWithin(aTerms.timeToObjective, aTerms.margin)) {
    return safe;
  }
  if (const auto close = CheapestWithin(aOffers, aTerms.timeToObjective)) {
    return close;
  }
  return nearestWithin(aTerms.timeToDeadline, 1).value_or(nearest.tier);
}

}
