#include "baobab/node/watched_attempts.hpp"

#include "baobab/decision/second_send.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/signal.hpp"
#include "baobab/net/worker.hpp"

#include <algorithm>
#include <vector>

namespace baobab {
namespace {

/// Slowness from which calls in flight are looked at again.
constexpr double kSlowHost = 2;

}

/// An idempotent attempt in flight.
struct WatchedAttempts::InFlightAttempt
{
  InFlightAttempt(const IngressCall& aCall,
                  CallPlan& aPlan,
                  Endpoint aTarget,
                  TimePoint aBegan)
    : call(aCall)
    , plan(aPlan)
    , target(aTarget)
    , startedAt(aBegan)
  {
  }

  const IngressCall& call;
  CallPlan& plan;
  Endpoint target;
  TimePoint startedAt;
  Cancellation first;
  Cancellation second;
  bool secondRunning = false;
  std::optional<Outcome> secondOutcome;
  Signal secondEnded;
};

Outcome
WatchedAttempts::Run(const IngressCall& aCall,
                     const ChosenTarget& aChosen,
                     CallPlan& aPlan)
{
  const Endpoint target = aChosen.target->endpoint;
  const auto flight =
    std::make_shared<InFlightAttempt>(aCall, aPlan, target, Now());
  aCall.caller->OnGone([flight] {
    if (flight->first.cancel) {
      flight->first.cancel();
    }
  });
  const auto place = aCall.terms.idempotent
                       ? this->inFlight.emplace(target, flight)
                       : this->inFlight.end();
  Outcome outcome = this->runner.Run(aCall, aChosen, flight->first);
  if (place != this->inFlight.end()) {
    this->inFlight.erase(place);
  }
  aCall.caller->OnGone(nullptr);
  return AwaitSecondAttempt(*flight, std::move(outcome));
}

void
WatchedAttempts::OnSlowness(const Endpoint& aEndpoint, double aSlowness)
{
  if (aSlowness < kSlowHost) {
    return;
  }
  // A second attempt may end at once and change the flights.
  const auto [first, last] = this->inFlight.equal_range(aEndpoint);
  std::vector<std::shared_ptr<InFlightAttempt>> slowed;
  std::transform(first,
                 last,
                 std::back_inserter(slowed),
                 [](const auto& aItem) { return aItem.second; });
  for (const auto& flight : slowed) {
    this->ConsiderSecondAttempt(flight, aSlowness);
  }
}

void
WatchedAttempts::ConsiderSecondAttempt(
  const std::shared_ptr<InFlightAttempt>& aFlight,
  double aSlowness)
{
  const IngressCall& call = aFlight->call;
  const Duration work = call.route->state->Work(Duration::zero());
  if (aFlight->secondRunning || aFlight->secondOutcome ||
      call.suspectFingerprint || work == Duration::zero()) {
    return;
  }
  const TimePoint now = Now();
  const ChosenTarget other = this->runner.Choose(call, { aFlight->target });
  if (!other.target) {
    return;
  }
  SlowedCall slowed;
  slowed.elapsed = now - aFlight->startedAt;
  slowed.work = work;
  slowed.slowness = aSlowness;
  slowed.objective = call.terms.objective - now;
  slowed.deadline = call.terms.deadline - now;
  slowed.elsewhere = other.expectedTime;
  if (SecondSendPays(slowed) &&
      aFlight->plan.MaySendSecond(call.serviceRoute->state->retryBudget)) {
    Log(kSecondSent,
        call.record->RequestId(),
        aFlight->target,
        aSlowness,
        other.target->endpoint,
        other.expectedTime);
    this->SendSecondAttempt(aFlight, other);
  }
}

void
WatchedAttempts::SendSecondAttempt(
  const std::shared_ptr<InFlightAttempt>& aFlight,
  const ChosenTarget& aChosen)
{
  aFlight->secondRunning = true;
  // The call may end while the second attempt is still being cancelled.
  auto call = std::make_shared<IngressCall>(aFlight->call);
  Spawn([this, aFlight, call, aChosen] {
    aFlight->secondOutcome =
      this->runner.Run(*call, aChosen, aFlight->second, true);
    aFlight->secondRunning = false;
    if (std::holds_alternative<Answered>(*aFlight->secondOutcome) &&
        aFlight->first.cancel) {
      aFlight->first.cancel();
    }
    aFlight->secondEnded.Notify();
  });
}

/// The outcome of an attempt, and of the second one if it was sent.
Outcome
WatchedAttempts::AwaitSecondAttempt(InFlightAttempt& aFlight, Outcome aFirst)
{
  const bool answered = std::holds_alternative<Answered>(aFirst);
  if (aFlight.secondRunning && (answered || aFlight.call.caller->Gone())) {
    if (aFlight.second.cancel) {
      aFlight.second.cancel();
    }
    return aFirst;
  }
  if (aFlight.secondRunning) {
    aFlight.secondEnded.WaitUntil(aFlight.call.terms.deadline);
  }
  const bool sent = aFlight.secondRunning || aFlight.secondOutcome;
  return sent ? CombineOutcomes(std::move(aFirst), aFlight.secondOutcome)
              : aFirst;
}

}
