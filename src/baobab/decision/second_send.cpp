#include "baobab/decision/second_send.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Time for which a host is assumed to stay slow once the slowness is noticed:
/// the load of noisy neighbours on the same machine comes and goes within half
/// a second.
constexpr Duration kSlowPeriod = 400ms;

/// A call is assumed to have at least this part of its usual work left, also if
/// it has run for longer than usual; as a divisor.
constexpr int kMinRemainingDivisor = 5;

}

Duration
ExpectedRemainingTime(const SlowedCall& aCall)
{
  const Duration left =
    std::max(aCall.work - aCall.elapsed, aCall.work / kMinRemainingDivisor);
  const auto ifSlowThroughout =
    std::chrono::duration_cast<Duration>(left * aCall.slowness);
  const auto doneWhileSlow =
    std::chrono::duration_cast<Duration>(kSlowPeriod / aCall.slowness);
  return std::min(ifSlowThroughout,
                  kSlowPeriod +
                    std::max(Duration::zero(), left - doneWhileSlow));
}

bool
ShouldSendSecond(const SlowedCall& aCall)
{
  const Duration remaining = ExpectedRemainingTime(aCall);
  const auto onlySecondMeets = [&](Duration aBound) {
    return remaining > aBound && aCall.alternative <= aBound;
  };
  return onlySecondMeets(aCall.timeToObjective) ||
         onlySecondMeets(aCall.timeToDeadline);
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
