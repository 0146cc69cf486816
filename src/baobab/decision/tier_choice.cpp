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
  if (const auto close = nearestWithin(aTerms.timeToObjective, 1)) {
    return close;
  }
  return nearestWithin(aTerms.timeToDeadline, 1).value_or(nearest.tier);
}

}
