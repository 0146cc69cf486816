#include "baobab/node/target_chooser.hpp"

#include "baobab/decision/rendezvous.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Utilisation below which a tier counts as having room.
constexpr double kRoom = 0.95;

using Targets = std::vector<std::shared_ptr<TargetRef>>;

class Chooser
{
public:
  Chooser(const ServiceRoute& aRoute,
          const std::vector<Endpoint>& aTried,
          SplitMix& aRandom,
          TimePoint aNow)
    : route(aRoute)
    , tried(aTried)
    , random(aRandom)
    , now(aNow)
    , prior(aRoute.state->Prior())
  {
  }

  ChosenTarget Choose(std::int64_t aBytes)
  {
    ChosenTarget fallback;
    for (const Tier tier : { Tier::SameZone, Tier::SameRegion }) {
      auto target = this->ChooseIn(tier);
      if (!target) {
        continue;
      }
      if (this->HasRoom(*target)) {
        return { std::move(target), tier };
      }
      if (!fallback.target || !this->LessUsed(*fallback.target, *target)) {
        fallback = { std::move(target), tier };
      }
    }
    auto abroad = this->ChooseAbroad(fallback.target == nullptr, aBytes);
    return abroad ? ChosenTarget{ std::move(abroad), Tier::OtherRegion }
                  : fallback;
  }

  /// Chooses as if no target were held back. With all of them held back, an
  /// attempt costs less than a refusal.
  ChosenTarget ChooseAnyway(std::int64_t aBytes)
  {
    this->ignoreBreakers = true;
    return this->Choose(aBytes);
  }

private:
  std::shared_ptr<TargetRef> ChooseAbroad(bool aOnlyChance, std::int64_t aBytes)
  {
    if (!this->route.service->spec.spill.crossRegion) {
      return nullptr;
    }
    auto target = this->ChooseIn(Tier::OtherRegion);
    if (!target || !(aOnlyChance || this->HasRoom(*target)) ||
        !this->route.state->spill.Charge(aBytes, this->now)) {
      return nullptr;
    }
    return target;
  }

  std::shared_ptr<TargetRef> ChooseIn(Tier aTier)
  {
    const Targets& targets = this->route.tiers[static_cast<std::size_t>(aTier)];
    const auto view = [&](std::size_t aIndex) {
      return this->ViewOf(*targets[aIndex]);
    };
    const auto chosen = this->Apply(targets.size(), view);
    if (!chosen || !(this->ignoreBreakers ||
                     targets[*chosen]->breaker.TryPass(this->now))) {
      return nullptr;
    }
    return targets[*chosen];
  }

  template<class V>
  std::optional<std::size_t> Apply(std::size_t aCount, const V& aView)
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
        break;
    }
    return LoadAwareChoice{}.Choose(aCount, aView, this->random);
  }

  TargetView ViewOf(const TargetRef& aTarget) const
  {
    const double utilisation = aTarget.load.Utilisation(this->prior, this->now);
    const bool usable =
      (this->ignoreBreakers || !aTarget.breaker.IsOpen(this->now)) &&
      std::ranges::find(this->tried, aTarget.endpoint) == this->tried.end();
    return { utilisation,
             aTarget.load.Latency(utilisation, this->prior, this->now),
             usable };
  }

  bool HasRoom(const TargetRef& aTarget) const
  {
    return aTarget.load.Utilisation(this->prior, this->now) < kRoom;
  }

  bool LessUsed(const TargetRef& aLeft, const TargetRef& aRight) const
  {
    return aLeft.load.Utilisation(this->prior, this->now) <
           aRight.load.Utilisation(this->prior, this->now);
  }

  const ServiceRoute& route;
  const std::vector<Endpoint>& tried;
  SplitMix& random;
  TimePoint now;
  PeerPrior prior;
  bool ignoreBreakers = false;
};

}

ChosenTarget
ChooseTarget(const ServiceRoute& aRoute,
             const std::vector<Endpoint>& aTried,
             std::int64_t aBytes,
             SplitMix& aRandom,
             TimePoint aNow)
{
  Chooser chooser(aRoute, aTried, aRandom, aNow);
  const ChosenTarget chosen = chooser.Choose(aBytes);
  return chosen.target ? chosen : chooser.ChooseAnyway(aBytes);
}

ChosenTarget
ChooseIsolated(const ServiceRoute& aRoute, std::uint64_t aFingerprint)
{
  std::vector<Endpoint> endpoints;
  for (const Targets& targets : aRoute.tiers) {
    std::ranges::transform(
      targets, std::back_inserter(endpoints), [](const auto& aTarget) {
        return aTarget->endpoint;
      });
  }
  const auto picked =
    RendezvousPick(endpoints, std::to_string(aFingerprint), 1);
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    for (const auto& target : aRoute.tiers[tier]) {
      if (!picked.empty() && target->endpoint == picked.front()) {
        return { target, static_cast<Tier>(tier) };
      }
    }
  }
  return {};
}

}
