#include "baobab/node/hedge.hpp"

#include "baobab/net/clock.hpp"
#include "baobab/net/signal.hpp"
#include "baobab/net/worker.hpp"

#include <algorithm>
#include <deque>

namespace baobab {
namespace {

/// Latencies of the mean after which a hedge starts.
constexpr double kHedgeFactor = 3;

/// The attempts of one call. They may outlive it.
struct Race
{
  std::vector<Outcome> outcomes;
  std::deque<Cancellation> started;
  Signal changed;
};

bool
IsAnswer(const Outcome& aOutcome)
{
  return std::holds_alternative<Answered>(aOutcome);
}

void
CancelAll(Race& aRace)
{
  for (Cancellation& racer : aRace.started) {
    if (racer.cancel) {
      racer.cancel();
    }
  }
}

/// The outcome of a race. Without an answer, "not run" needs that no attempt
/// may have run.
Outcome
Best(const std::vector<Outcome>& aOutcomes)
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
          const std::vector<Endpoint>& aTried)
{
  auto race = std::make_shared<Race>();
  auto call = std::make_shared<const IngressCall>(aCall);
  const auto start = [&](const ChosenTarget& aTarget) {
    const bool second = !race->started.empty();
    Cancellation& cancellation = race->started.emplace_back();
    Spawn([&aRunner, race, call, aTarget, second, &cancellation] {
      race->outcomes.push_back(
        aRunner.Run(*call, aTarget, cancellation, second));
      race->changed.Notify();
    });
  };
  start(aChosen);
  aCall.caller->OnGone([race] { CancelAll(*race); });
  const Duration mean = aCall.serviceRoute->state->Prior().latency;
  const auto delay = std::chrono::duration_cast<Duration>(mean * kHedgeFactor);
  const bool ended =
    race->changed.WaitUntil(std::min(aCall.terms.deadline, Now() + delay));
  if (!ended && aCall.serviceRoute->state->retryBudget.Spend()) {
    const ChosenTarget second = aRunner.Choose(aCall, aTried);
    if (second.target) {
      start(second);
    }
  }
  while (race->outcomes.size() < race->started.size() &&
         std::ranges::none_of(race->outcomes, IsAnswer)) {
    race->changed.Wait();
  }
  aCall.caller->OnGone(nullptr);
  Outcome best = Best(race->outcomes);
  if (IsAnswer(best)) {
    CancelAll(*race);
  }
  return best;
}

}
