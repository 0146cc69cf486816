#include "baobab/node/target_chooser.hpp"

#include "baobab/decision/finish_choice.hpp"
#include "baobab/decision/rendezvous.hpp"
#include "baobab/decision/tier_choice.hpp"

#include <algorithm>
#include <array>
#include <span>

namespace baobab {
namespace {

/// Utilisation from which a target counts as full.
constexpr double kFullUtilisation = 0.95;

/// Maximum number of targets per tier that are compared for one call.
constexpr std::size_t kMaxCompared = 16;

/// Assumed round-trip times to daemons that were not called yet, by tier.
constexpr std::array<Duration, kTierCount> kDefaultRoundTrips = { 500us,
                                                                  3ms,
                                                                  25ms };

using Targets = std::vector<std::shared_ptr<TargetEntry>>;

/// Chooses the target for one attempt.
class Chooser
{
public:
  Chooser(const ServiceRoute& aRoute,
          const std::vector<Endpoint>& aTried,
          const RegionLimits& aRegions,
          SplitMix& aRandom,
          TimePoint aNow)
    : route(aRoute)
    , tried(aTried)
    , regions(aRegions)
    , random(aRandom)
    , now(aNow)
    , targetMeans(aRoute.state->TargetMeans())
  {
  }

  ChosenTarget Choose(const ChoiceTerms& aTerms)
  {
    return this->route.service->spec.policy == PolicyKind::ExpectedFinish
             ? this->ChooseByFinish(aTerms)
             : this->ChooseByTier(aTerms.bytes);
  }

  /// Chooses as if all circuit breakers were closed. If all are open, an
  /// attempt at a failing target is better than refusing the call.
  ChosenTarget ChooseIgnoringBreakers(const ChoiceTerms& aTerms)
  {
    this->ignoreBreakers = true;
    return this->Choose(aTerms);
  }

private:
  /// Compares the expected time until the answer at targets of all tiers.
  ChosenTarget ChooseByFinish(const ChoiceTerms& aTerms)
  {
    std::vector<Candidate> candidates;
    std::vector<ChosenTarget> targets;
    for (const Tier tier :
         { Tier::SameZone, Tier::SameRegion, Tier::OtherRegion }) {
      if (tier != Tier::OtherRegion || this->MayLeaveRegion()) {
        this->AddCandidates(tier, aTerms, candidates, targets);
      }
    }
    // A smaller margin would keep calls that miss their objective.
    const bool byObjective = aTerms.placement.objectiveMargin >= 1;
    if (byObjective) {
      this->RankTiers(aTerms, candidates, targets);
    }
    while (!candidates.empty()) {
      const auto choice = ChooseFirstToFinish(candidates, this->random);
      ChosenTarget& chosen = targets[choice->index];
      if (this->TryReserve(chosen, aTerms)) {
        chosen.expectedTime = candidates[choice->index].expectedTime;
        chosen.alternative =
          (byObjective
             ? this->AlternativeTo(choice->index, aTerms, candidates, targets)
             : choice->alternative)
            .value_or(Duration::zero());
        return std::move(chosen);
      }
      const auto position = static_cast<std::ptrdiff_t>(choice->index);
      candidates.erase(candidates.begin() + position);
      targets.erase(targets.begin() + position);
    }
    return {};
  }

  /// Decides whether the call leaves its zone or region. The targets of other
  /// tiers remain as a last resort, the nearest first.
  void RankTiers(const ChoiceTerms& aTerms,
                 std::vector<Candidate>& aCandidates,
                 std::vector<ChosenTarget>& aTargets) const
  {
    // Longer than any expected time.
    constexpr Duration kRank = 24h;
    std::array<TierOffer, kTierCount> offers;
    std::size_t count = 0;
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const Tier tier = aTargets[i].tier;
      const Duration time = aCandidates[i].expectedTime;
      if (count == 0 || offers[count - 1].tier != tier) {
        offers[count++] = {
          tier, time, aCandidates[i].penalty, this->HasRoom(tier)
        };
      }
      TierOffer& offer = offers[count - 1];
      offer.expectedTime = std::min(offer.expectedTime, time);
    }
    const auto chosen = ChooseTier(std::span(offers).first(count),
                                   { aTerms.timeToObjective,
                                     aTerms.timeToDeadline,
                                     aTerms.placement.objectiveMargin });
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const Tier tier = aTargets[i].tier;
      aTargets[i].leaves = tier != this->NearestTier();
      if (tier != chosen) {
        aCandidates[i].penalty += kRank * (1 + static_cast<int>(tier));
      }
    }
  }

  /// Returns the expected time at the best other target to which the call may
  /// be moved. It is moved to another tier only if it is not safely in time in
  /// its own, as in ChooseTier.
  std::optional<Duration> AlternativeTo(
    std::size_t aChosen,
    const ChoiceTerms& aTerms,
    const std::vector<Candidate>& aCandidates,
    const std::vector<ChosenTarget>& aTargets) const
  {
    const Tier tier = aTargets[aChosen].tier;
    const auto safeTime = std::chrono::duration_cast<Duration>(
      aTerms.timeToObjective / aTerms.placement.objectiveMargin);
    std::optional<Duration> best;
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const Tier other = aTargets[i].tier;
      if (i == aChosen || (other != tier && !this->HasRoom(other))) {
        continue;
      }
      Duration time = aCandidates[i].expectedTime + PenaltyOf(other, aTerms) -
                      PenaltyOf(tier, aTerms);
      if (other != tier) {
        time = std::max(time, safeTime);
      }
      best = std::min(best.value_or(time), time);
    }
    return best;
  }

  /// Returns the nearest tier with a target in the regions of the call, whether
  /// it can be used at the moment or not.
  Tier NearestTier() const
  {
    for (const Tier tier : { Tier::SameZone, Tier::SameRegion }) {
      const Targets& targets =
        this->route.tiers[static_cast<std::size_t>(tier)];
      if (std::ranges::any_of(targets, [&](const auto& aTarget) {
            return this->regions.Allows(aTarget->locality.region);
          })) {
        return tier;
      }
    }
    return Tier::OtherRegion;
  }

  bool HasRoom(Tier aTier) const
  {
    return aTier == this->NearestTier() ||
           this->route.state->Outflow(aTier).HasRoom(this->now);
  }

  /// Reserves an attempt at the target's circuit breaker and, if the target is
  /// in another region, in the call budget. Returns false if either refuses it.
  /// The budget does not refuse a call that is confined to other regions, which
  /// has no other place.
  bool TryReserve(const ChosenTarget& aChosen, const ChoiceTerms& aTerms)
  {
    if (!this->ignoreBreakers &&
        !aChosen.target->breaker.TryAttempt(this->now)) {
      return false;
    }
    return aChosen.tier != Tier::OtherRegion ||
           this->route.state->crossRegionCallBudget.Charge(aTerms.bytes,
                                                           this->now) ||
           this->MustLeaveRegion();
  }

  bool MayLeaveRegion() const
  {
    return this->route.service->spec.spill.crossRegion ||
           this->MustLeaveRegion();
  }

  /// True if the call is confined to regions of which this one is none, or in
  /// which it has no target.
  bool MustLeaveRegion() const
  {
    return this->regions.Confined() && this->NearestTier() == Tier::OtherRegion;
  }

  void AddCandidates(Tier aTier,
                     const ChoiceTerms& aTerms,
                     std::vector<Candidate>& aCandidates,
                     std::vector<ChosenTarget>& aTargets)
  {
    const auto tier = static_cast<std::size_t>(aTier);
    const Targets& targets = this->route.tiers[tier];
    const std::size_t count = std::min(targets.size(), kMaxCompared);
    const std::size_t start =
      targets.empty() ? 0 : UniformBelow(this->random, targets.size());
    for (std::size_t i = 0; i < count; ++i) {
      const auto& target = targets[(start + i) % targets.size()];
      if (!this->Usable(*target)) {
        continue;
      }
      aCandidates.push_back({ target->load.RoundTrip(kDefaultRoundTrips[tier]) +
                                target->load.ExpectedFinish(
                                  aTerms.work, this->targetMeans, this->now),
                              PenaltyOf(aTier, aTerms),
                              static_cast<int>(tier) });
      aTargets.push_back({ target, aTier });
    }
  }

  /// Returns the time by which a target of this tier must be faster than one in
  /// the same zone to be preferred.
  static Duration PenaltyOf(Tier aTier, const ChoiceTerms& aTerms)
  {
    constexpr double kMegabyte = 1e6;
    const double megabytes = static_cast<double>(aTerms.bytes) / kMegabyte;
    const PlacementSpec& placement = aTerms.placement;
    switch (aTier) {
      case Tier::SameZone:
        return Duration::zero();
      case Tier::SameRegion:
        return std::chrono::duration_cast<Duration>(
          placement.zonePenaltyPerMegabyte * megabytes);
      case Tier::OtherRegion:
        break;
    }
    return std::chrono::duration_cast<Duration>(
      placement.regionPenaltyPerMegabyte * megabytes);
  }

  /// Applies the policy to each tier, the nearest first, and returns the first
  /// target that is not full. If all are full, returns the less utilised one of
  /// the region.
  ChosenTarget ChooseByTier(std::int64_t aBytes)
  {
    ChosenTarget fallback;
    for (const Tier tier : { Tier::SameZone, Tier::SameRegion }) {
      auto target = this->ChooseInTier(tier);
      if (!target) {
        continue;
      }
      if (this->HasCapacity(*target)) {
        return { std::move(target), tier };
      }
      if (!fallback.target ||
          !this->IsLessUtilised(*fallback.target, *target)) {
        fallback = { std::move(target), tier };
      }
    }
    auto otherRegion =
      this->ChooseInOtherRegion(fallback.target == nullptr, aBytes);
    return otherRegion
             ? ChosenTarget{ std::move(otherRegion), Tier::OtherRegion }
             : fallback;
  }

  std::shared_ptr<TargetEntry> ChooseInOtherRegion(bool aOnlyOption,
                                                   std::int64_t aBytes)
  {
    if (!this->MayLeaveRegion()) {
      return nullptr;
    }
    auto target = this->ChooseInTier(Tier::OtherRegion);
    if (!target || !(aOnlyOption || this->HasCapacity(*target)) ||
        !(this->route.state->crossRegionCallBudget.Charge(aBytes, this->now) ||
          this->MustLeaveRegion())) {
      return nullptr;
    }
    return target;
  }

  std::shared_ptr<TargetEntry> ChooseInTier(Tier aTier)
  {
    const Targets& targets = this->route.tiers[static_cast<std::size_t>(aTier)];
    const auto view = [&](std::size_t aIndex) {
      return this->ViewOf(*targets[aIndex]);
    };
    const auto chosen = this->ApplyPolicy(targets.size(), view);
    if (!chosen || !(this->ignoreBreakers ||
                     targets[*chosen]->breaker.TryAttempt(this->now))) {
      return nullptr;
    }
    return targets[*chosen];
  }

  template<class V>
  std::optional<std::size_t> ApplyPolicy(std::size_t aCount, const V& aView)
  {
    switch (this->route.service->spec.policy) {
      case PolicyKind::Random:
        return RandomChoice{}.Choose(aCount, aView, this->random);
      case PolicyKind::RoundRobin:
        return this->route.state->roundRobin.Choose(
          aCount, aView, this->random);
      case PolicyKind::LeastKnown:
        return LeastKnownChoice{}.Choose(aCount, aView, this->random);
      case PolicyKind::LoadAware:
      case PolicyKind::ExpectedFinish:
        break;
    }
    return LoadAwareChoice{}.Choose(aCount, aView, this->random);
  }

  TargetView ViewOf(const TargetEntry& aTarget) const
  {
    const double utilisation =
      aTarget.load.Utilisation(this->targetMeans, this->now);
    return { utilisation,
             aTarget.load.Latency(utilisation, this->targetMeans, this->now),
             this->Usable(aTarget) };
  }

  bool Usable(const TargetEntry& aTarget) const
  {
    return this->regions.Allows(aTarget.locality.region) &&
           (this->ignoreBreakers || !aTarget.breaker.IsOpen(this->now)) &&
           std::ranges::find(this->tried, aTarget.endpoint) ==
             this->tried.end();
  }

  bool HasCapacity(const TargetEntry& aTarget) const
  {
    return aTarget.load.Utilisation(this->targetMeans, this->now) <
           kFullUtilisation;
  }

  bool IsLessUtilised(const TargetEntry& aLeft, const TargetEntry& aRight) const
  {
    return aLeft.load.Utilisation(this->targetMeans, this->now) <
           aRight.load.Utilisation(this->targetMeans, this->now);
  }

  const ServiceRoute& route;
  const std::vector<Endpoint>& tried;
  const RegionLimits& regions;
  SplitMix& random;
  TimePoint now;
  TargetPrior targetMeans;
  bool ignoreBreakers = false;
};

}

ChosenTarget
ChooseTarget(const ServiceRoute& aRoute,
             const std::vector<Endpoint>& aTried,
             const ChoiceTerms& aTerms,
             SplitMix& aRandom,
             TimePoint aNow)
{
  Chooser chooser(aRoute, aTried, aTerms.regions, aRandom, aNow);
  const ChosenTarget chosen = chooser.Choose(aTerms);
  return chosen.target ? chosen : chooser.ChooseIgnoringBreakers(aTerms);
}

ChosenTarget
ChooseIsolated(const ServiceRoute& aRoute,
               std::uint64_t aFingerprint,
               const RegionLimits& aRegions)
{
  std::vector<Endpoint> endpoints;
  for (const Targets& targets : aRoute.tiers) {
    for (const auto& target : targets) {
      if (aRegions.Allows(target->locality.region)) {
        endpoints.push_back(target->endpoint);
      }
    }
  }
  const auto pick = RendezvousPick(endpoints, std::to_string(aFingerprint), 1);
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    for (const auto& target : aRoute.tiers[tier]) {
      if (!pick.empty() && target->endpoint == pick.front()) {
        return { target, static_cast<Tier>(tier) };
      }
    }
  }
  return {};
}

}
