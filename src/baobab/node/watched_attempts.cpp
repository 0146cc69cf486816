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

/// Slowdown of a host from which second attempts are considered.
constexpr double kSlowHostFactor = 2;

}

/// A running attempt and its second attempt, if there is one. Shared by the
/// fibers of both, since either may end last.
struct WatchedAttempts::InFlightAttempt
{
  InFlightAttempt(const IngressCall& aCall,
                  RetryState& aRetryState,
                  Endpoint aTarget,
                  TimePoint aStartedAt)
    : call(aCall)
    , retryState(aRetryState)
    , target(aTarget)
    , startedAt(aStartedAt)
  {
  }

  const IngressCall& call;
  RetryState& retryState;
  Endpoint target;
  TimePoint startedAt;
  Cancellation first;
  Cancellation second;
  bool secondRunning = false;
  std::optional<Outcome> secondOutcome;
  FiberEvent secondEnded;
};

Outcome
WatchedAttempts::Run(const IngressCall& aCall,
                     const ChosenTarget& aChosen,
                     RetryState& aRetryState)
{
  const Endpoint target = aChosen.target->endpoint;
  const auto attempt =
    std::make_shared<InFlightAttempt>(aCall, aRetryState, target, Now());
  aCall.caller->OnDisconnect([attempt] {
    if (attempt->first.cancel) {
      attempt->first.cancel();
    }
  });
  const auto entry = aCall.terms.idempotent
                       ? this->inFlight.emplace(target, attempt)
                       : this->inFlight.end();
  Outcome outcome =
    this->runner.Run(aCall, aChosen, aRetryState.TakePermit(), attempt->first);
  if (entry != this->inFlight.end()) {
    this->inFlight.erase(entry);
  }
  aCall.caller->OnDisconnect(nullptr);
  return AwaitSecondAttempt(*attempt, std::move(outcome));
}

void
WatchedAttempts::OnSlowness(const Endpoint& aEndpoint, double aSlowness)
{
  if (aSlowness < kSlowHostFactor) {
    return;
  }
  // Copied, because an attempt may end during the loop and be removed from
  // the map.
  const auto [first, last] = this->inFlight.equal_range(aEndpoint);
  std::vector<std::shared_ptr<InFlightAttempt>> affected;
  std::transform(first,
                 last,
                 std::back_inserter(affected),
                 [](const auto& aItem) { return aItem.second; });
  for (const auto& attempt : affected) {
    this->ConsiderSecondAttempt(attempt, aSlowness);
  }
}

void
WatchedAttempts::ConsiderSecondAttempt(
  const std::shared_ptr<InFlightAttempt>& aAttempt,
  double aSlowness)
{
  const IngressCall& call = aAttempt->call;
  const Duration work = call.route->state->Work(Duration::zero());
  if (aAttempt->secondRunning || aAttempt->secondOutcome || call.suspect ||
      work == Duration::zero()) {
    return;
  }
  const TimePoint now = Now();
  const ChosenTarget other = this->runner.Choose(call, { aAttempt->target });
  if (!other.target) {
    return;
  }
  SlowedCall slowed;
  slowed.elapsed = now - aAttempt->startedAt;
  slowed.work = work;
  slowed.slowness = aSlowness;
  slowed.timeToObjective = call.terms.objective - now;
  slowed.timeToDeadline = call.terms.deadline - now;
  slowed.alternative = other.expectedTime;
  if (!ShouldSendSecond(slowed)) {
    return;
  }
  if (auto permit = aAttempt->retryState.GrantSecondSend(
        call.serviceRoute->state->retryBudget)) {
    Log(kSecondSent,
        call.record->RequestId(),
        aAttempt->target,
        aSlowness,
        other.target->endpoint,
        other.expectedTime);
    this->SendSecondAttempt(aAttempt, other, std::move(*permit));
  }
}

void
WatchedAttempts::SendSecondAttempt(
  const std::shared_ptr<InFlightAttempt>& aAttempt,
  const ChosenTarget& aChosen,
  SendPermit aPermit)
{
  aAttempt->secondRunning = true;
  // Copied, because the call may end while the second attempt is still being
  // cancelled.
  auto call = std::make_shared<IngressCall>(aAttempt->call);
  Spawn([this, aAttempt, call, aChosen, permit = std::move(aPermit)]() mutable {
    aAttempt->secondOutcome = this->runner.Run(
      *call, aChosen, std::move(permit), aAttempt->second, true);
    aAttempt->secondRunning = false;
    if (std::holds_alternative<Answered>(*aAttempt->secondOutcome) &&
        aAttempt->first.cancel) {
      aAttempt->first.cancel();
    }
    aAttempt->secondEnded.Notify();
  });
}

/// Returns the outcome of the call, after the first attempt is over. Waits for
/// the second attempt if the first one was not answered.
Outcome
WatchedAttempts::AwaitSecondAttempt(InFlightAttempt& aAttempt, Outcome aFirst)
{
  const bool answered = std::holds_alternative<Answered>(aFirst);
  if (aAttempt.secondRunning &&
      (answered || aAttempt.call.caller->Disconnected())) {
    if (aAttempt.second.cancel) {
      aAttempt.second.cancel();
    }
    return aFirst;
  }
  if (aAttempt.secondRunning) {
    aAttempt.secondEnded.WaitUntil(aAttempt.call.terms.deadline);
  }
  const bool sent = aAttempt.secondRunning || aAttempt.secondOutcome;
  return sent ? CombineOutcomes(std::move(aFirst), aAttempt.secondOutcome)
              : aFirst;
}

}
