/// @file
/// Choice of the target for an attempt.
#pragma once

#include "baobab/core/random.hpp"
#include "baobab/core/region_limits.hpp"
#include "baobab/core/settings.hpp"
#include "baobab/node/route_table.hpp"

#include <memory>
#include <vector>

namespace baobab {

/// The target that was chosen for an attempt.
struct ChosenTarget
{
  /// Null if no target may be used.
  std::shared_ptr<TargetEntry> target;
  Tier tier = Tier::SameZone;
  /// Expected time until the answer; 0 if the policy does not estimate it.
  Duration expectedTime = Duration::zero();
  /// Expected time at the best other target; 0 if there is none.
  Duration alternative = Duration::zero();
  /// True if a nearer tier has targets, so that the service's outflow window
  /// applies.
  bool leaves = false;
};

/// Properties of a call on which the choice of its target depends.
struct ChoiceTerms
{
  /// Estimated time of the call on a host at normal speed.
  Duration work = std::chrono::milliseconds(50);
  /// Bytes of the request and of an average answer; charged to the
  /// cross-region call budget if the target is in another region.
  std::int64_t bytes = 0;
  PlacementSpec placement;
  /// Regions in which the call may be served.
  RegionLimits regions;
  Duration timeToObjective = Duration::zero();
  Duration timeToDeadline = Duration::zero();
};

/// Chooses a target by the service's policy. Targets with an open circuit
/// breaker are used only if there is no other. The result has no target if none
/// may be used.
/// @param aTried targets that must not be chosen again
ChosenTarget ChooseTarget(const ServiceRoute& aRoute,
                          const std::vector<Endpoint>& aTried,
                          const ChoiceTerms& aTerms,
                          SplitMix& aRandom,
                          TimePoint aNow);

/// Chooses the target for a request that is suspected of crashing targets. All
/// daemons that know the same targets choose the same one, so that such a
/// request affects no other target.
ChosenTarget ChooseIsolated(const ServiceRoute& aRoute,
                            std::uint64_t aFingerprint,
                            const RegionLimits& aRegions);

}
