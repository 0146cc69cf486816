/// @file
/// Decides whether a call whose host has become slow is also sent to another
/// target.
#pragma once

#include "baobab/core/outcome.hpp"
#include "baobab/core/time.hpp"

#include <optional>

namespace baobab {

/// A call that is running on a host which has just become slow.
struct SlowedCall
{
  /// Time since it was sent.
  Duration elapsed = Duration::zero();
  /// Its usual service time on a host at normal speed.
  Duration work = Duration::zero();
  /// Slowness of its host; 1 is normal speed.
  double slowness = 1;
  /// Time left to meet the latency objective; negative if it is missed.
  Duration timeToObjective = Duration::zero();
  /// Time left until the deadline.
  Duration timeToDeadline = Duration::zero();
  /// Expected time until the answer if it is sent to the best other target now.
  Duration alternative = Duration::zero();
};

/// Expected time until the call's answer from its present target. It assumes
/// that the host is slow only for a short time and then works at normal speed.
Duration ExpectedRemainingTime(const SlowedCall& aCall);

/// True if only a second send is expected to meet the latency objective, or
/// only a second send is expected to meet the deadline.
bool ShouldSendSecond(const SlowedCall& aCall);

/// Returns the outcome of a call that was sent to two targets. It is "not run"
/// only if neither of them may have run it.
/// @param aSecond outcome of the second attempt; nothing while it still runs
Outcome CombineOutcomes(Outcome aFirst, std::optional<Outcome> aSecond);

}
