/// @file
/// Decides after each attempt whether a call is retried.
#pragma once

#include "baobab/core/outcome.hpp"
#include "baobab/decision/retry_budget.hpp"

#include <cstdint>
#include <optional>

namespace baobab {

enum class RetryDecision : std::uint8_t
{
  Retry,
  Finish,
};

/// The attempts of one call and their combined outcome.
///
/// A call ends as "not run" only if none of its attempts may have run. An
/// attempt that may have reached a target counts towards the maximum, and a
/// retry after it takes budget. An attempt that a daemon refused before its
/// target saw it does neither.
class RetryState
{
public:
  /// @param aAttempts attempts that may reach a target at most
  RetryState(bool aIdempotent, std::int64_t aAttempts, TimePoint aDeadline);

  /// Records the outcome of an attempt and decides whether to retry. A retry
  /// that adds load to a target takes budget.
  RetryDecision OnOutcome(Outcome aOutcome,
                          RetryBudget& aBudget,
                          TimePoint aNow);

  /// Returns the permit of the attempt that is granted: the first one, or the
  /// one after RetryDecision::Retry. Call it once for each.
  SendPermit TakePermit();

  /// Asks to send the call to a second target while an attempt runs. Takes
  /// budget if granted. The outcomes of both are combined into that of the
  /// attempt.
  std::optional<SendPermit> GrantSecondSend(RetryBudget& aBudget);

  /// Asks to offer the call again to targets that refused it as overloaded,
  /// after no other target is left. They may have refused in favour of another
  /// target; without one they accept the call if they can. Granted once.
  bool GrantSecondRound();

  /// Combined outcome of the attempts so far.
  const Outcome& Result() const { return this->result; }
  /// Moves the result out, so that a large answer is not copied.
  Outcome TakeResult() { return std::move(this->result); }

  std::int64_t Attempts() const { return this->attempts; }

private:
  std::optional<SendPermit> GrantRetry(const Outcome& aOutcome,
                                       RetryBudget& aBudget) const;

  bool idempotent;
  std::int64_t maxAttempts;
  TimePoint deadline;
  std::int64_t attempts = 0;
  /// Attempts that may have reached a target.
  std::int64_t targetAttempts = 0;
  bool secondRoundGranted = false;
  std::optional<SendPermit> permit = SendPermit::ForFirstSend();
  Outcome result;
};

}
