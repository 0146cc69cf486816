#include "baobab/node/hedge.hpp"

#include "baobab/net/clock.hpp"
#include "baobab/net/fiber_event.hpp"
#include "baobab/net/worker.hpp"

#include <algorithm>
#include <deque>

namespace baobab {
namespace {

/// Delay of the second attempt, as a multiple of the service's mean latency.
constexpr double kHedgeDelayFactor = 3;

/// The attempts of one call. Shared with their fibers, since an attempt that
/// is being cancelled may outlive the call.
struct HedgedAttempts
{
  std::vector<Outcome> outcomes;
  std::deque<Cancellation> started;
  FiberEvent changed;
};

bool
IsAnswer(const Outcome& aOutcome)
{
  return std::holds_alternative<Answered>(aOutcome);
}

void
CancelAll(HedgedAttempts& aAttempts)
{
  for (Cancellation& attempt : aAttempts.started) {
    if (attempt.cancel) {
      attempt.cancel();
    }
  }
}

/// Returns the outcome of the call: an answer if there is one. Otherwise it is
/// "not run" only if none of the attempts may have run.
Outcome
CombinedOutcome(const std::vector<Outcome>& aOutcomes)
{
  const auto answered = std::ranges::find_if(aOutcomes, IsAnswer);
  if (answered != aOutcomes.end()) {
    return *answered;
  }
  const auto unknown =
    std::ranges::find_if(aOutcomes, [](const Outcome& aOutcome) {
      return std::holds_alternative<OutcomeUnknown>(aOutcome);
    });
  return unknown != aOutcomes.end() ? *unknown : aOutcomes.front();
}

}

Outcome
RunHedged(AttemptRunner& aRunner,
          const IngressCall& aCall,
          const ChosenTarget& aChosen,
          const std::vector<Endpoint>& aTried,
          SendPermit aPermit)
{
  auto attempts = std::make_shared<HedgedAttempts>();
  auto call = std::make_shared<const IngressCall>(aCall);
  const auto start = [&](const ChosenTarget& aTarget, SendPermit aGranted) {
    const bool second = !attempts->started.empty();
    Cancellation& cancellation = attempts->started.emplace_back();
    Spawn([&aRunner,
           attempts,
           call,
           aTarget,
           second,
           &cancellation,
           granted = std::move(aGranted)]() mutable {
      attempts->outcomes.push_back(
        aRunner.Run(*call, aTarget, std::move(granted), cancellation, second));
      attempts->changed.Notify();
    });
  };
  start(aChosen, std::move(aPermit));
  aCall.caller->OnDisconnect([attempts] { CancelAll(*attempts); });
  const Duration mean = aCall.serviceRoute->state->TargetMeans().latency;
  const auto delay =
    std::chrono::duration_cast<Duration>(mean * kHedgeDelayFactor);
  const bool ended =
    attempts->changed.WaitUntil(std::min(aCall.terms.deadline, Now() + delay));
  auto permit =
    ended ? std::nullopt : aCall.serviceRoute->state->retryBudget.Spend();
  if (permit) {
    const ChosenTarget second = aRunner.Choose(aCall, aTried);
    if (second.target) {
      start(second, std::move(*permit));
    }
  }
  while (attempts->outcomes.size() < attempts->started.size() &&
         std::ranges::none_of(attempts->outcomes, IsAnswer)) {
    attempts->changed.Wait();
  }
  aCall.caller->OnDisconnect(nullptr);
  Outcome outcome = CombinedOutcome(attempts->outcomes);
  if (IsAnswer(outcome)) {
    CancelAll(*attempts);
  }
  return outcome;
}

}
