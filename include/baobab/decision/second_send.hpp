/// @file
/// Decides whether a call whose host has turned slow is sent once more.
#pragma once

#include "baobab/core/outcome.hpp"
#include "baobab/core/time.hpp"

#include <optional>

namespace baobab {

/// A call that runs on a host which has just turned slow.
struct SlowedCall
{
  /// Time since it was sent.
  Duration elapsed = Duration::zero();
  /// Its usual time on an unhurried host.
  Duration work = Duration::zero();
  /// Slowness of its host; 1 is the usual.
  double slowness = 1;
  /// Time left for an answer of full worth, and until its deadline.
  Duration objective = Duration::zero();
  Duration deadline = Duration::zero();
  /// Expected time of a second send at the best other target.
  Duration alternative = Duration::zero();
};

/// Expected time until the call's answer if it is left where it is. A slow
/// spell passes: work goes on slowly until its end, then as usual.
Duration ExpectedRemainingTime(const SlowedCall& aCall);

/// True if a second send is expected to gain what the caller cares about: an
/// answer within the objective, or one within the deadline, that would not
/// come otherwise.
bool ShouldSendSecond(const SlowedCall& aCall);

/// The outcome of a call that was sent to two targets. "Not run" needs that
/// neither of them may have run it.
/// @param aSecond outcome of the second attempt; nothing while it runs
Outcome CombineOutcomes(Outcome aFirst, std::optional<Outcome> aSecond);

}
