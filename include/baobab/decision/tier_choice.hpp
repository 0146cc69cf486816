/// @file
/// Decides whether a call leaves its availability zone or region.
#pragma once

#include "baobab/core/locality.hpp"
#include "baobab/core/time.hpp"

#include <optional>
#include <span>

namespace baobab {

/// The best target of a tier for a call.
struct TierOffer
{
  Tier tier = Tier::SameZone;
  /// Expected time until its answer.
  Duration expectedTime = Duration::zero();
  /// Time that the answer must be gained for the bytes that the call moves.
  Duration penalty = Duration::zero();
  /// False if no more calls may be sent to the tier at the moment.
  bool hasRoom = true;
};

/// What a call needs.
struct TierTerms
{
  /// Time until the latency objective is missed; negative if it is missed
  /// already.
  Duration timeToObjective = Duration::zero();
  Duration timeToDeadline = Duration::zero();
  /// Factor by which an expected time may be exceeded without missing the
  /// objective.
  double margin = 1;
};

/// Chooses the tier in which a call is placed. A call stays in the nearest tier
/// as long as it is answered there within its objective, and leaves it for the
/// nearest one that has room and meets the objective, both with the margin; if
/// none does, the cheapest one that meets it without the margin is taken. A
/// call that can meet its objective nowhere stays, unless only another tier
/// meets its deadline: moving it costs bytes and takes room from calls that
/// could be in time.
/// @param aOffers at most one for each tier, the nearest first
/// @return nothing if there is no offer
std::optional<Tier> ChooseTier(std::span<const TierOffer> aOffers,
                               const TierTerms& aTerms);

}
