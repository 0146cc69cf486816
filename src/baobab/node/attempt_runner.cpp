#include "baobab/node/attempt_runner.hpp"

#include "baobab/core/result.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/node/target_signals.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Time for which a target that refused a call as not ready gets no calls.
constexpr Duration kNotReadyPause = 1s;

/// Longest time for which a target that has reached its limit of requests gets
/// no calls.
constexpr Duration kMaxLimitPause = 5s;

/// Time for which the limit in a target's last answer is passed on to its
/// daemon, which may have restarted.
constexpr Duration kLimitMemory = 10s;

/// Estimated bytes of a call besides its body and path, for the cross-region
/// call budget.
constexpr std::int64_t kCallOverheadBytes = 512;

/// Estimated time of a call on a host at normal speed until a call of its
/// service has been answered.
constexpr Duration kDefaultWork = 100ms;

constexpr double kPercent = 100;

void
RecordAnswer(const IngressCall& aCall,
             TargetEntry& aTarget,
             const AttemptResult& aResult,
             std::size_t aBodyBytes,
             Duration aLatency)
{
  if (aResult.serverTime > Duration::zero()) {
    const Duration networkTime = aLatency - aResult.serverTime;
    aTarget.load.RecordRoundTrip(networkTime);
    aCall.stats->networkTimes.Record(networkTime);
    aCall.route->state->Observe(aResult.work, aBodyBytes);
  }
  aTarget.breaker.RecordSuccess();
  aTarget.load.RecordLatency(aLatency, Now());
  aCall.serviceRoute->state->ObserveLatency(aLatency);
}

void
RecordRefusal(TargetEntry& aTarget, const NotRun& aRefusal)
{
  switch (aRefusal.reason) {
    case RefusalReason::Leaving:
    case RefusalReason::NotReady:
    case RefusalReason::WrongService:
    case RefusalReason::Evacuated:
      aTarget.breaker.OpenFor(Now(), kNotReadyPause);
      break;
    case RefusalReason::RateLimited:
    case RefusalReason::WarmingUp:
      aTarget.breaker.OpenFor(
        Now(), std::min<Duration>(aRefusal.retryAfter, kMaxLimitPause));
      break;
    case RefusalReason::Unreachable:
      aTarget.breaker.RecordFailure(Now());
      break;
    default:
      aTarget.breaker.RecordSuccess();
      break;
  }
}

void
RecordUnknown(TargetEntry& aTarget, UnknownCause aCause)
{
  // A lost connection does not mean that the target fails. If its daemon stays
  // unreachable, later attempts end as Unreachable and count as failures.
  if (aCause != UnknownCause::LinkLost && aCause != UnknownCause::Cancelled) {
    aTarget.breaker.RecordFailure(Now());
  }
}

/// Returns whether a call that left its zone found room there.
OutflowResult
OutflowResultOf(const IngressCall& aCall,
                const Outcome& aOutcome,
                TimePoint aSentAt)
{
  if (const auto* answer = std::get_if<Answered>(&aOutcome)) {
    // A call that was late already left its zone to meet its deadline.
    const bool late = aSentAt >= aCall.terms.objective;
    const bool inTime = late || Now() <= aCall.terms.objective;
    return !IsSuccess(answer->response.status) ? OutflowResult::Unrelated
           : inTime                            ? OutflowResult::InTime
                                               : OutflowResult::NoRoom;
  }
  if (const auto* refusal = std::get_if<NotRun>(&aOutcome)) {
    return refusal->reason == RefusalReason::Cancelled
             ? OutflowResult::Unrelated
             : OutflowResult::NoRoom;
  }
  return std::get<OutcomeUnknown>(aOutcome).cause == UnknownCause::Cancelled
           ? OutflowResult::Unrelated
           : OutflowResult::NoRoom;
}

void
SetOutcome(const Outcome& aOutcome, AttemptRecord& aRecord)
{
  std::visit(Overloaded{
               [&](const Answered& aAnswer) {
                 aRecord.outcome = "answered";
                 aRecord.detail = std::to_string(aAnswer.response.status);
               },
               [&](const NotRun& aRefusal) {
                 aRecord.outcome = "not-run";
                 aRecord.detail =
                   std::string(Name(aRefusal.reason)) + ": " + aRefusal.detail;
               },
               [&](const OutcomeUnknown& aUnknown) {
                 aRecord.outcome = "unknown";
                 aRecord.detail = baobab::Describe(aUnknown.cause);
               },
             },
             aOutcome);
}

}

AttemptRunner::AttemptRunner(boost::asio::io_context& aContext,
                             LinkIdentity aIdentity,
                             LoadListener aOnLoad,
                             const RcuCell<RouteTable>& aRoutes,
                             const Settings& aSettings)
  : routes(aRoutes)
  , settings(aSettings)
  , links(aContext,
          std::move(aIdentity),
          aSettings.timeouts,
          std::move(aOnLoad))
  , random(EntropySeed())
{
}

ChosenTarget
AttemptRunner::Choose(const IngressCall& aCall,
                      const std::vector<Endpoint>& aTried)
{
  if (aCall.suspect) {
    return aTried.empty() ? ChooseIsolated(*aCall.serviceRoute,
                                           aCall.suspect->fingerprint,
                                           aCall.Regions())
                          : ChosenTarget{};
  }
  return ChooseTarget(
    *aCall.serviceRoute, aTried, this->TermsOf(aCall), this->random, Now());
}

Outcome
AttemptRunner::Run(const IngressCall& aCall,
                   const ChosenTarget& aChosen,
                   SendPermit aPermit,
                   Cancellation& aCancellation,
                   bool aSecond)
{
  TargetEntry& target = *aChosen.target;
  AttemptRecord record;
  record.startedAt = Now();
  target.load.BeginAttempt();
  OutflowWindow& outflow = aCall.serviceRoute->state->Outflow(aChosen.tier);
  if (aChosen.leaves) {
    outflow.Begin();
  }
  record.knownLoad = target.load.Snapshot(record.startedAt);
  this->knownTargets[target.endpoint] = aChosen.target;
  CallTerms terms = aCall.terms;
  terms.work = EstimatedWork(aCall);
  terms.alternative = aChosen.alternative;
  terms.answerBytes = aCall.route->state->AnswerBytes();
  terms.targetLimit = target.namedLimit.Get(record.startedAt - kLimitMemory);
  AttemptResult result =
    this->links.Get(target.endpoint)
      ->Run(aCall.request, terms, std::move(aPermit), &aCancellation);
  target.load.EndAttempt();
  if (aChosen.leaves) {
    outflow.End(OutflowResultOf(aCall, result.outcome, record.startedAt),
                Now());
  }
  if (result.malformedPart) {
    Log(kPeerAnswerMalformed,
        aCall.record->RequestId(),
        target.endpoint,
        *result.malformedPart);
  }
  record.duration = Now() - record.startedAt;
  this->RecordResult(aCall, target, result, record.duration);
  record.call = result.id;
  record.target = target.endpoint;
  record.tier = aChosen.tier;
  record.second = aSecond;
  record.expectedTime = aChosen.expectedTime;
  record.alternative = aChosen.alternative;
  record.serverTime = result.serverTime;
  SetOutcome(result.outcome, record);
  aCall.record->AddAttempt(std::move(record));
  return std::move(result.outcome);
}

void
AttemptRunner::UpdateLoad(const Endpoint& aEndpoint, const LoadReport& aLoad)
{
  const auto found = this->knownTargets.find(aEndpoint);
  if (found == this->knownTargets.end()) {
    return;
  }
  if (const auto target = found->second.lock()) {
    target->load.ApplyReport(aLoad, Now());
  }
}

/// Returns the estimated time of a call on a host at normal speed. The choice
/// of the target and the target's daemon must use the same value. Otherwise
/// every target may refuse the call because another one seems faster.
Duration
AttemptRunner::EstimatedWork(const IngressCall& aCall)
{
  const Duration serviceMean = aCall.serviceRoute->state->TargetMeans().latency;
  return aCall.route->state->Work(
    serviceMean == Duration::zero() ? kDefaultWork : serviceMean);
}

ChoiceTerms
AttemptRunner::TermsOf(const IngressCall& aCall) const
{
  const RouteState& routeState = *aCall.route->state;
  const TimePoint now = Now();
  return {
    EstimatedWork(aCall),
    static_cast<std::int64_t>(aCall.request.body.size() +
                              aCall.request.target.size()) +
      kCallOverheadBytes + routeState.AnswerBytes(),
    this->routes.Read(
      [](const RouteTable& aTable) { return aTable.live.placement; }),
    aCall.Regions(),
    aCall.terms.objective - now,
    aCall.terms.deadline - now,
  };
}

void
AttemptRunner::RecordResult(const IngressCall& aCall,
                            TargetEntry& aTarget,
                            const AttemptResult& aResult,
                            Duration aLatency) const
{
  ServiceState& state = *aCall.serviceRoute->state;
  if (aResult.load) {
    aTarget.load.ApplyReport(*aResult.load, Now());
    state.ObserveOthers(aTarget.load.OthersPerSlot());
    state.ObserveSlowness(aResult.load->slowness / kPercent);
  }
  std::visit(
    Overloaded{
      [&](const Answered& aAnswer) {
        RecordAnswer(
          aCall, aTarget, aResult, aAnswer.response.body.size(), aLatency);
        const TargetSignals signals =
          ReadSignals(aAnswer.response, this->settings.headers);
        if (signals.leaving) {
          aTarget.breaker.OpenFor(Now(), kNotReadyPause);
        }
        aTarget.namedLimit.Set(signals.requestLimit, Now());
      },
      [&](const NotRun& aRefusal) { RecordRefusal(aTarget, aRefusal); },
      [&](const OutcomeUnknown& aUnknown) {
        RecordUnknown(aTarget, aUnknown.cause);
      },
    },
    aResult.outcome);
}

}
