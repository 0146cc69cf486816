#include "baobab/node/watched_attempts.hpp"

#include "baobab/decision/second_send.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/fiber_event.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/net/worker.hpp"

#include <algorithm>
#include <vector>

namespace baobab {
namespace {

/// Slowness from which calls in flight are looked at again.
constexpr double kSlowHost = 2;

}

/// An idempotent attempt in flight.
struct WatchedAttempts::Flight
{
  Flight(const IngressCall& aCall,
         RetryState& aPlan,
         Endpoint aTarget,
         TimePoint aBegan)
    : call(aCall)
    , plan(aPlan)
    , target(aTarget)
    , began(aBegan)
  {
  }

  const IngressCall& call;
  RetryState& plan;
  Endpoint target;
  TimePoint began;
  Cancellation first;
  Cancellation second;
  bool secondRuns = false;
  std::optional<Outcome> secondOutcome;
  FiberEvent secondEnded;
};

Outcome
WatchedAttempts::Run(const IngressCall& aCall,
                     const ChosenTarget& aChosen,
                     RetryState& aPlan)
{
  const Endpoint target = aChosen.target->endpoint;
  const auto flight = std::make_shared<Flight>(aCall, aPlan, target, Now());
  aCall.caller->OnDisconnect([flight] {
    if (flight->first.cancel) {
      flight->first.cancel();
    }
  });
  const auto place = aCall.terms.idempotent
                       ? this->flights.emplace(target, flight)
                       : this->flights.end();
  Outcome outcome = this->runner.Run(aCall, aChosen, flight->first);
  if (place != this->flights.end()) {
    this->flights.erase(place);
  }
  aCall.caller->OnDisconnect(nullptr);
  return AwaitSecond(*flight, std::move(outcome));
}

void
WatchedAttempts::OnSlowness(const Endpoint& aEndpoint, double aSlowness)
{
  if (aSlowness < kSlowHost) {
    return;
  }
  // A second attempt may end at once and change the flights.
  const auto [first, last] = this->flights.equal_range(aEndpoint);
  std::vector<std::shared_ptr<Flight>> slowed;
  std::transform(first,
                 last,
                 std::back_inserter(slowed),
                 [](const auto& aItem) { return aItem.second; });
  for (const auto& flight : slowed) {
    this->ConsiderSecond(flight, aSlowness);
  }
}

void
WatchedAttempts::ConsiderSecond(const std::shared_ptr<Flight>& aFlight,
                                double aSlowness)
{
  const IngressCall& call = aFlight->call;
  const Duration work = call.rule->state->Work(Duration::zero());
  if (aFlight->secondRuns || aFlight->secondOutcome || call.suspect ||
      work == Duration::zero()) {
    return;
  }
  const TimePoint now = Now();
  const ChosenTarget other = this->runner.Choose(call, { aFlight->target });
  if (!other.target) {
    return;
  }
  SlowedCall slowed;
  slowed.elapsed = now - aFlight->began;
  slowed.work = work;
  slowed.slowness = aSlowness;
  slowed.objective = call.terms.objective - now;
  slowed.deadline = call.terms.deadline - now;
  slowed.alternative = other.finish;
  if (ShouldSendSecond(slowed) &&
      aFlight->plan.GrantSecondSend(call.route->state->retries)) {
    Log(kSecondSent,
        call.trail->Request(),
        aFlight->target,
        aSlowness,
        other.target->endpoint,
        other.finish);
    this->SendSecond(aFlight, other);
  }
}

void
WatchedAttempts::SendSecond(const std::shared_ptr<Flight>& aFlight,
                            const ChosenTarget& aChosen)
{
  aFlight->secondRuns = true;
  // The call may end while the second attempt is still being cancelled.
  auto call = std::make_shared<IngressCall>(aFlight->call);
  Spawn([this, aFlight, call, aChosen] {
    aFlight->secondOutcome =
      this->runner.Run(*call, aChosen, aFlight->second, true);
    aFlight->secondRuns = false;
    if (std::holds_alternative<Answered>(*aFlight->secondOutcome) &&
        aFlight->first.cancel) {
      aFlight->first.cancel();
    }
    aFlight->secondEnded.Notify();
  });
}

/// The outcome of an attempt, and of the second one if it was sent.
Outcome
WatchedAttempts::AwaitSecond(Flight& aFlight, Outcome aFirst)
{
  const bool answered = std::holds_alternative<Answered>(aFirst);
  if (aFlight.secondRuns && (answered || aFlight.call.caller->Disconnected())) {
    if (aFlight.second.cancel) {
      aFlight.second.cancel();
    }
    return aFirst;
  }
  if (aFlight.secondRuns) {
    aFlight.secondEnded.WaitUntil(aFlight.call.terms.deadline);
  }
  const bool sent = aFlight.secondRuns || aFlight.secondOutcome;
  return sent ? CombineOutcomes(std::move(aFirst), aFlight.secondOutcome)
              : aFirst;
}

}
