#include "baobab/node/attempt_runner.hpp"

#include "baobab/core/result.hpp"
#include "baobab/net/clock.hpp"

namespace baobab {
namespace {

/// Time for which a target that refused as not ready is left out.
constexpr Duration kHoldBack = 1s;

/// Bytes of a call besides its body and path, for the spill budget.
constexpr std::int64_t kCallOverhead = 512;

/// Time of a call on an unhurried host while no answer of its service has
/// told it.
constexpr Duration kUsualWork = 100ms;

constexpr double kPercent = 100;

void
LearnAnswer(const IngressCall& aCall,
            TargetEntry& aTarget,
            const AttemptResult& aResult,
            std::size_t aBodyBytes,
            Duration aLatency)
{
  if (aResult.held > Duration::zero()) {
    const Duration way = aLatency - aResult.held;
    aTarget.load.MeasuredWay(way);
    aCall.stats->hops.Record(way);
    aCall.rule->state->Observe(aResult.work, aBodyBytes);
  }
  aTarget.breaker.Succeeded();
  aTarget.load.Measured(aLatency, Now());
  aCall.route->state->Observe(aLatency);
}

void
LearnRefusal(TargetEntry& aTarget, RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::Leaving:
    case RefusalReason::NotReady:
    case RefusalReason::WrongService:
      aTarget.breaker.HoldBack(Now(), kHoldBack);
      break;
    case RefusalReason::Unreachable:
      aTarget.breaker.Failed(Now());
      break;
    default:
      aTarget.breaker.Succeeded();
      break;
  }
}

void
LearnUnknown(TargetEntry& aTarget, UnknownCause aCause)
{
  // A lost link is no sign of a failing target; whether it can be reached
  // again shows when the link reconnects.
  if (aCause != UnknownCause::LinkLost && aCause != UnknownCause::Cancelled) {
    aTarget.breaker.Failed(Now());
  }
}

void
Describe(const Outcome& aOutcome, AttemptRecord& aRecord)
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
    return aTried.empty() ? ChooseIsolated(*aCall.route, *aCall.suspect)
                          : ChosenTarget{};
  }
  return ChooseTarget(
    *aCall.route, aTried, this->TermsOf(aCall), this->random, Now());
}

Outcome
AttemptRunner::Run(const IngressCall& aCall,
                   const ChosenTarget& aChosen,
                   Cancellation& aCancellation,
                   bool aSecond)
{
  TargetEntry& target = *aChosen.target;
  AttemptRecord record;
  record.began = Now();
  target.load.Began();
  record.known = target.load.Known(record.began);
  this->called[target.endpoint] = aChosen.target;
  CallTerms terms = aCall.terms;
  terms.work = UsualWork(aCall);
  terms.alternative = aChosen.alternative;
  AttemptResult result =
    this->links.To(target.endpoint)->Run(aCall.request, terms, &aCancellation);
  target.load.Ended();
  record.took = Now() - record.began;
  Learn(aCall, target, result, record.took);
  record.call = result.id;
  record.target = target.endpoint;
  record.tier = aChosen.tier;
  record.second = aSecond;
  record.expected = aChosen.finish;
  record.alternative = aChosen.alternative;
  record.held = result.held;
  Describe(result.outcome, record);
  aCall.trail->Add(std::move(record));
  return std::move(result.outcome);
}

void
AttemptRunner::TakeLoad(const Endpoint& aEndpoint, const LoadReport& aLoad)
{
  const auto found = this->called.find(aEndpoint);
  if (found == this->called.end()) {
    return;
  }
  if (const auto target = found->second.lock()) {
    target->load.Report(aLoad, Now());
  }
}

/// Usual time of a call on an unhurried host. Both ends must reckon with the
/// same one, or a call is handed back by every target.
Duration
AttemptRunner::UsualWork(const IngressCall& aCall)
{
  const Duration ofService = aCall.route->state->Prior().latency;
  return aCall.rule->state->Work(ofService == Duration::zero() ? kUsualWork
                                                               : ofService);
}

ChoiceTerms
AttemptRunner::TermsOf(const IngressCall& aCall) const
{
  const RouteState& learned = *aCall.rule->state;
  return {
    UsualWork(aCall),
    static_cast<std::int64_t>(aCall.request.body.size() +
                              aCall.request.target.size()) +
      kCallOverhead + learned.AnswerBytes(),
    this->routes.Read(
      [](const RouteTable& aTable) { return aTable.live.placement; }),
  };
}

void
AttemptRunner::Learn(const IngressCall& aCall,
                     TargetEntry& aTarget,
                     const AttemptResult& aResult,
                     Duration aLatency)
{
  ServiceState& state = *aCall.route->state;
  if (aResult.load) {
    aTarget.load.Report(*aResult.load, Now());
    state.ObserveOthers(aTarget.load.OthersPerSlot());
    state.ObserveSlowness(aResult.load->slowness / kPercent);
  }
  std::visit(
    Overloaded{
      [&](const Answered& aAnswer) {
        LearnAnswer(
          aCall, aTarget, aResult, aAnswer.response.body.size(), aLatency);
      },
      [&](const NotRun& aRefusal) { LearnRefusal(aTarget, aRefusal.reason); },
      [&](const OutcomeUnknown& aUnknown) {
        LearnUnknown(aTarget, aUnknown.cause);
      },
    },
    aResult.outcome);
}

}
