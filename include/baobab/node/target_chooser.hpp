/// @file
#pragma once

#include "baobab/core/random.hpp"
#include "baobab/node/route_table.hpp"

#include <memory>
#include <vector>

namespace baobab {

/// A target for an attempt.
struct ChosenTarget
{
  std::shared_ptr<TargetRef> target;
  Tier tier = Tier::SameZone;
};

/// Chooses a target by the service's policy in the nearest tier with room.
/// Returns no target if none may be used now.
/// @param aTried targets that earlier attempts used
/// @param aBytes size of the request, charged if it leaves the region
ChosenTarget ChooseTarget(const ServiceRoute& aRoute,
                          const std::vector<Endpoint>& aTried,
                          std::int64_t aBytes,
                          SplitMix& aRandom,
                          TimePoint aNow);

/// Chooses the one target that runs a request under suspicion.
ChosenTarget ChooseIsolated(const ServiceRoute& aRoute,
                            std::uint64_t aFingerprint);

}
