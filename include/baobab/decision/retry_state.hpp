/// @file
/// Decides after each attempt whether a call is tried again.
#pragma once

#include "baobab/core/outcome.hpp"
#include "baobab/decision/retry_budget.hpp"

#include <cstdint>

namespace baobab {

enum class RetryDecision : std::uint8_t
{
  Retry,
  Finish,
};

/// The attempts of one call. A call ends as "not run" only if none of its
/// attempts may have run. An attempt that may have reached a target counts
/// against the call's attempts, and another one needs budget; what a daemon
/// refused before its target costs neither.
class RetryState
{
public:
  RetryState(bool aIdempotent, std::int64_t aAttempts, TimePoint aDeadline);

  /// Records the outcome of an attempt and decides what follows.
  RetryDecision OnOutcome(Outcome aOutcome,
                          RetryBudget& aBudget,
                          TimePoint aNow);

  /// Asks to send the call to a second target while an attempt runs; takes
  /// budget if granted. Its outcome is combined with that of the attempt.
  bool GrantSecondSend(RetryBudget& aBudget);

  /// Asks to offer the call again to targets that handed it back, when there
  /// is no other left: they must then take it if they can. Granted once.
  bool GrantSecondRound();

  /// Outcome of the call so far.
  const Outcome& Result() const { return this->result; }

  std::int64_t Attempts() const { return this->attempts; }

private:
  bool MayRetry(const Outcome& aOutcome, RetryBudget& aBudget) const;

  bool idempotent;
  std::int64_t most;
  TimePoint deadline;
  std::int64_t attempts = 0;
  /// Attempts that may have reached a target.
  std::int64_t arrivals = 0;
  bool insisted = false;
  Outcome result;
};

}
