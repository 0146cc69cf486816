#include "baobab/decision/second_send.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Time for which a slow spell still lasts when it is noticed: neighbours that
/// slow a host down come and go within half a second.
constexpr Duration kSpell = 400ms;

/// Part of the usual work that a call which exceeds it is taken to have left.
constexpr int kTailPart = 5;

}

Duration
ExpectedRemainingTime(const SlowedCall& aCall)
{
  const Duration left =
    std::max(aCall.work - aCall.elapsed, aCall.work / kTailPart);
  const auto slow = std::chrono::duration_cast<Duration>(left * aCall.slowness);
  const auto done =
    std::chrono::duration_cast<Duration>(kSpell / aCall.slowness);
  return std::min(slow, kSpell + std::max(Duration::zero(), left - done));
}

bool
ShouldSendSecond(const SlowedCall& aCall)
{
  const Duration stay = ExpectedRemainingTime(aCall);
  const auto gains = [&](Duration aBound) {
    return stay > aBound && aCall.alternative <= aBound;
  };
  return gains(aCall.objective) || gains(aCall.deadline);
}

Outcome
CombineOutcomes(Outcome aFirst, std::optional<Outcome> aSecond)
{
  const auto isAnswer = [](const Outcome& aOutcome) {
    return std::holds_alternative<Answered>(aOutcome);
  };
  if (isAnswer(aFirst)) {
    return aFirst;
  }
  const bool firstNotRun = std::holds_alternative<NotRun>(aFirst);
  if (!aSecond) {
    return firstNotRun ? Outcome(OutcomeUnknown{ UnknownCause::DeadlinePassed })
                       : std::move(aFirst);
  }
  const bool secondNotRun = std::holds_alternative<NotRun>(*aSecond);
  return secondNotRun ? std::move(aFirst) : *std::move(aSecond);
}

}
