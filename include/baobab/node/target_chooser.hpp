/// @file
#pragma once

#include "baobab/core/random.hpp"
#include "baobab/core/settings.hpp"
#include "baobab/node/route_table.hpp"

#include <memory>
#include <vector>

namespace baobab {

/// A target for an attempt.
struct ChosenTarget
{
  std::shared_ptr<TargetEntry> target;
  Tier tier = Tier::SameZone;
  /// Expected time until the answer; 0 if the policy does not estimate it.
  Duration finish = Duration::zero();
  /// Time in which another target is believed to finish; 0 if there is none.
  Duration alternative = Duration::zero();
};

/// What a choice takes into account besides the targets.
struct ChoiceTerms
{
  /// Usual time of the call on an unhurried host.
  Duration work = std::chrono::milliseconds(50);
  /// Bytes of request and usual answer, charged if they leave the region.
  std::int64_t bytes = 0;
  PlacementSpec placement;
};

/// Chooses a target by the service's policy. Returns no target if none may be
/// used now.
/// @param aTried targets that earlier attempts used
ChosenTarget ChooseTarget(const ServiceRoute& aRoute,
                          const std::vector<Endpoint>& aTried,
                          const ChoiceTerms& aTerms,
                          SplitMix& aRandom,
                          TimePoint aNow);

/// Chooses the one target that runs a request under suspicion.
ChosenTarget ChooseIsolated(const ServiceRoute& aRoute,
                            std::uint64_t aFingerprint);

}
