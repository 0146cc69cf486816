#include "baobab/node/ingress.hpp"

#include "baobab/core/result.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/decision/second_send.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/worker.hpp"
#include "baobab/node/headers.hpp"
#include "baobab/node/responses.hpp"

#include <algorithm>
#include <charconv>
#include <deque>

namespace baobab {
namespace {

constexpr std::string_view kChannel = "ingress";

constexpr unsigned kServerError = 500;

/// Time for which a target that refused as not ready is left out.
constexpr Duration kHoldBack = 1s;

/// Bytes of a call besides its body and path, for the spill budget.
constexpr std::int64_t kCallOverhead = 512;

/// Body that a request without a route may have, so that it is read and gets
/// its answer.
constexpr std::int64_t kUnroutedBodyBytes = 1 << 20;

/// Time for which an idle connection is kept beyond the configured limit, so
/// that a request that was sent in time is not met by a close.
constexpr Duration kIdleMargin = 1s;

/// Times that a call may be handed back for the sake of a faster target.
constexpr std::size_t kMostHandBacks = 2;

/// Slowness from which calls in flight are looked at again.
constexpr double kSlowHost = 2;

/// Time of a call on an unhurried host while no answer of its service has
/// told it.
constexpr Duration kUsualWork = 100ms;

/// Latencies of the mean after which a hedge starts.
constexpr double kHedgeFactor = 3;

std::string_view
HostOf(const Request& aRequest)
{
  return WithoutPort(FindHeader(aRequest.headers, "Host"));
}

/// Time that the caller still gives the call, if it says so.
std::optional<Millis>
CallerDeadline(const Request& aRequest, std::string_view aHeader)
{
  const auto text = FindHeader(aRequest.headers, aHeader);
  std::int64_t millis = 0;
  const auto [end, code] =
    std::from_chars(text.data(), text.data() + text.size(), millis);
  if (text.empty() || code != std::errc{} || millis < 0) {
    return std::nullopt;
  }
  return Millis(millis);
}

CallClass
ClassOf(const Response& aResponse, const ServiceSpec& aSpec, Duration aLatency)
{
  if (aResponse.status >= kServerError) {
    return CallClass::Failed;
  }
  return aLatency > aSpec.objective.latency ? CallClass::Late : CallClass::Good;
}

}

Ingress::Ingress(boost::asio::io_context& aContext,
                 const RcuCell<RouteTable>& aRoutes,
                 LinkIdentity aIdentity,
                 const Settings& aSettings)
  : routes(aRoutes)
  , settings(aSettings)
  , links(aContext,
          std::move(aIdentity),
          aSettings.timeouts,
          [this](const Endpoint& aEndpoint, const LoadReport& aLoad) {
            this->TakeLoad(aEndpoint, aLoad);
          })
  , random(EntropySeed())
{
}

HttpHandler
Ingress::Handler()
{
  return {
    [this](const HttpHead& aHead) -> std::size_t {
      return this->routes.Read([&](const RouteTable& aTable) {
        const auto rule = aTable.Find(aHead.host, aHead.target);
        const std::int64_t own =
          rule ? rule->owner->spec.limits.bodyBytes : kUnroutedBodyBytes;
        return static_cast<std::size_t>(
          std::min(own, aTable.callers.bodyBytes));
      });
    },
    [this](Request&& aRequest, CallerWatch& aCaller) {
      return this->Answer(std::move(aRequest), aCaller);
    },
    [](HttpFault aFault) { return MarkNotRun(FaultResponse(aFault)); },
    [this] { return this->Limits(); },
  };
}

HttpLimits
Ingress::Limits() const
{
  const CallerLimits callers =
    this->routes.Read([](const RouteTable& aTable) { return aTable.callers; });
  const Timeouts& timeouts = this->settings.timeouts;
  return {
    static_cast<std::size_t>(
      std::min(this->settings.headerBytes, callers.headerBytes)),
    std::min<Duration>(timeouts.callerHeader, callers.headerTime),
    timeouts.callerBody,
    std::min<Duration>(timeouts.callerIdle, callers.idleTime + kIdleMargin),
  };
}

Response
Ingress::Answer(Request&& aRequest, CallerWatch& aCaller)
{
  auto rule = this->routes.Read([&](const RouteTable& aTable) {
    return aTable.Find(HostOf(aRequest), aRequest.target);
  });
  if (!rule) {
    return this->Unrouted();
  }
  const HeaderField id{
    this->settings.headers.requestId,
    std::string(FindHeader(aRequest.headers, this->settings.headers.requestId))
  };
  Call call = this->Prepare(std::move(rule), std::move(aRequest));
  call.caller = &aCaller;
  if (!call.route) {
    return NotRunResponse(
      { RefusalReason::NoTarget, "the route names no service that is known" },
      this->settings.headers.fractionalRetryAfter);
  }
  const auto found =
    this->stats.try_emplace(call.route->service->spec.name).first;
  call.route->state->retries.Earn();
  Outcome outcome = this->Carry(call, found->second);
  Response response = this->Conclude(call, std::move(outcome), found->second);
  if (!id.value.empty() && FindHeader(response.headers, id.name).empty()) {
    response.headers.push_back(id);
  }
  return response;
}

/// Answers a request for which there is no route. Without any configuration
/// nothing is known about routes.
Response
Ingress::Unrouted() const
{
  const bool configured = this->routes.Read(
    [](const RouteTable& aTable) { return aTable.generation > 0; });
  if (!configured) {
    return NotRunResponse(
      { RefusalReason::NotReady, "no configuration is known yet" },
      this->settings.headers.fractionalRetryAfter);
  }
  return MarkNotRun(
    TextResponse(404, "Not run: no service answers for this host and path.\n"));
}

Ingress::Call
Ingress::Prepare(std::shared_ptr<const Route> aRule, Request&& aRequest)
{
  const HeaderNames& names = this->settings.headers;
  Call call;
  call.began = Now();
  Duration time = aRule->spec.timeout;
  if (const auto given = CallerDeadline(aRequest, names.deadline)) {
    time = std::min<Duration>(time, *given);
  }
  call.terms.deadline = call.began + time;
  call.terms.objective = call.began + aRule->spec.objective;
  call.terms.priority = static_cast<std::uint8_t>(aRule->spec.priority);
  call.terms.idempotent = IsIdempotent(
    aRule->spec, aRule->owner->spec, aRequest.method, aRequest.target);
  std::erase_if(aRequest.headers, [&](const HeaderField& aField) {
    return IsOwnHeader(aField.name) ||
           SameHeader(aField.name, names.deadline) ||
           SameHeader(aField.name, names.callerService) ||
           SameHeader(aField.name, names.targetInstance);
  });
  if (!this->settings.service.empty()) {
    aRequest.headers.push_back({ names.callerService, this->settings.service });
  }
  call.route = aRule->Pick(this->random);
  call.rule = std::move(aRule);
  aRequest.service = call.route ? call.route->service->spec.name : "";
  call.request = std::move(aRequest);
  call.suspect = this->routes.Read(
    [&](const RouteTable& aTable) -> std::optional<std::uint64_t> {
      if (aTable.suspects.empty()) {
        return std::nullopt;
      }
      const Fingerprint fingerprint = FingerprintOf(call.request);
      return std::ranges::binary_search(aTable.suspects, fingerprint)
               ? std::optional(fingerprint)
               : std::nullopt;
    });
  return call;
}

Outcome
Ingress::Carry(const Call& aCall, ServiceStats& aStats)
{
  const ServiceSpec& spec = aCall.route->service->spec;
  CallPlan plan(
    aCall.terms.idempotent, aCall.rule->spec.attempts, aCall.terms.deadline);
  std::vector<Endpoint> tried;
  bool insists = false;
  while (true) {
    ChosenTarget chosen = this->ChooseFor(aCall, tried);
    if (!chosen.target && plan.MayInsist()) {
      insists = true;
      tried.clear();
      chosen = this->ChooseFor(aCall, tried);
    }
    if (!chosen.target) {
      break;
    }
    if (insists || tried.size() >= kMostHandBacks) {
      chosen.alternative = Duration::zero();
    }
    ++aStats.attempts;
    aStats.spilled += chosen.tier == Tier::OtherRegion ? 1 : 0;
    tried.push_back(chosen.target->endpoint);
    Outcome outcome = aCall.terms.idempotent && spec.hedge.enabled
                        ? this->AttemptHedged(aCall, chosen, tried)
                        : this->AttemptWatched(aCall, chosen, plan);
    if (plan.OnOutcome(std::move(outcome),
                       aCall.route->state->retries,
                       Now()) == PlanStep::Finish ||
        aCall.caller->Gone()) {
      break;
    }
  }
  Outcome result = plan.Result();
  if (auto* refusal = std::get_if<NotRun>(&result)) {
    refusal->retried = refusal->retried || plan.Attempts() > 1;
  }
  return result;
}

ChosenTarget
Ingress::ChooseFor(const Call& aCall, const std::vector<Endpoint>& aTried)
{
  if (aCall.suspect) {
    return aTried.empty() ? ChooseIsolated(*aCall.route, *aCall.suspect)
                          : ChosenTarget{};
  }
  return ChooseTarget(
    *aCall.route, aTried, this->TermsOf(aCall), this->random, Now());
}

/// Usual time of a call on an unhurried host. Both ends must reckon with the
/// same one, or a call is handed back by every target.
Duration
Ingress::UsualWork(const Call& aCall)
{
  const Duration ofService = aCall.route->state->Prior().latency;
  return aCall.rule->state->Work(ofService == Duration::zero() ? kUsualWork
                                                               : ofService);
}

ChoiceTerms
Ingress::TermsOf(const Call& aCall) const
{
  const RouteState& learned = *aCall.rule->state;
  return {
    UsualWork(aCall),
    static_cast<std::int64_t>(aCall.request.body.size() +
                              aCall.request.target.size()) +
      kCallOverhead + learned.AnswerBytes(),
    this->settings.placement,
  };
}

void
Ingress::TakeLoad(const Endpoint& aEndpoint, const LoadReport& aLoad)
{
  const auto found = this->called.find(aEndpoint);
  if (found == this->called.end()) {
    return;
  }
  if (const auto target = found->second.lock()) {
    target->load.Report(aLoad, Now());
  }
  constexpr double kPercent = 100;
  const double slowness = aLoad.slowness / kPercent;
  if (slowness < kSlowHost) {
    return;
  }
  const auto [first, last] = this->flights.equal_range(aEndpoint);
  std::vector<std::shared_ptr<Flight>> slowed;
  std::transform(first,
                 last,
                 std::back_inserter(slowed),
                 [](const auto& aItem) { return aItem.second; });
  for (const auto& flight : slowed) {
    this->ConsiderSecond(flight, slowness);
  }
}

/// An idempotent attempt in flight. While a second one runs, the first answer
/// of the two is the call's.
struct Ingress::Flight
{
  Flight(const Call& aCall, CallPlan& aPlan, Endpoint aTarget, TimePoint aBegan)
    : call(aCall)
    , plan(aPlan)
    , target(aTarget)
    , began(aBegan)
  {
  }

  const Call& call;
  CallPlan& plan;
  Endpoint target;
  TimePoint began;
  Cancellation first;
  Cancellation second;
  bool secondRuns = false;
  std::optional<Outcome> secondOutcome;
  Signal secondEnded;
};

void
Ingress::ConsiderSecond(const std::shared_ptr<Flight>& aFlight,
                        double aSlowness)
{
  const Call& call = aFlight->call;
  const Duration work = call.rule->state->Work(Duration::zero());
  if (aFlight->secondRuns || aFlight->secondOutcome || call.suspect ||
      work == Duration::zero()) {
    return;
  }
  const TimePoint now = Now();
  const ChosenTarget other = this->ChooseFor(call, { aFlight->target });
  if (!other.target) {
    return;
  }
  SlowedCall slowed;
  slowed.elapsed = now - aFlight->began;
  slowed.work = work;
  slowed.slowness = aSlowness;
  slowed.objective = call.terms.objective - now;
  slowed.deadline = call.terms.deadline - now;
  slowed.elsewhere = other.finish;
  if (SecondSendPays(slowed) &&
      aFlight->plan.MaySendSecond(call.route->state->retries)) {
    this->SendSecond(aFlight, other);
  }
}

void
Ingress::SendSecond(const std::shared_ptr<Flight>& aFlight,
                    const ChosenTarget& aChosen)
{
  aFlight->secondRuns = true;
  // The call may end while the second attempt is still being cancelled.
  auto call = std::make_shared<Call>(aFlight->call);
  Spawn([this, aFlight, call, aChosen] {
    aFlight->secondOutcome = this->Attempt(*call, aChosen, aFlight->second);
    aFlight->secondRuns = false;
    if (std::holds_alternative<Answered>(*aFlight->secondOutcome) &&
        aFlight->first.cancel) {
      aFlight->first.cancel();
    }
    aFlight->secondEnded.Notify();
  });
}

/// The outcome of an attempt of which a second one was sent.
Outcome
Ingress::AwaitSecond(Flight& aFlight, Outcome aFirst)
{
  const bool answered = std::holds_alternative<Answered>(aFirst);
  if (aFlight.secondRuns && (answered || aFlight.call.caller->Gone())) {
    if (aFlight.second.cancel) {
      aFlight.second.cancel();
    }
    return aFirst;
  }
  if (aFlight.secondRuns) {
    aFlight.secondEnded.WaitUntil(aFlight.call.terms.deadline);
  }
  if (answered || !aFlight.secondOutcome) {
    return aFirst;
  }
  // Without an answer, "not run" needs that neither attempt may have run.
  return std::holds_alternative<NotRun>(*aFlight.secondOutcome)
           ? std::move(aFirst)
           : *aFlight.secondOutcome;
}

Outcome
Ingress::Attempt(const Call& aCall,
                 const ChosenTarget& aChosen,
                 Cancellation& aCancellation)
{
  TargetRef& target = *aChosen.target;
  const TimePoint began = Now();
  target.load.Began();
  this->called[target.endpoint] = aChosen.target;
  CallTerms terms = aCall.terms;
  terms.work = UsualWork(aCall);
  terms.alternative = aChosen.alternative;
  AttemptResult result =
    this->links.To(target.endpoint)->Run(aCall.request, terms, &aCancellation);
  target.load.Ended();
  this->Learn(aCall, target, result, Now() - began);
  return std::move(result.outcome);
}

/// Runs an attempt that ends when the caller goes, and of which a second one
/// may be sent when its host turns slow.
Outcome
Ingress::AttemptWatched(const Call& aCall,
                        const ChosenTarget& aChosen,
                        CallPlan& aPlan)
{
  const Endpoint target = aChosen.target->endpoint;
  const auto flight = std::make_shared<Flight>(aCall, aPlan, target, Now());
  aCall.caller->OnGone([flight] {
    if (flight->first.cancel) {
      flight->first.cancel();
    }
  });
  const auto place = aCall.terms.idempotent
                       ? this->flights.emplace(target, flight)
                       : this->flights.end();
  Outcome outcome = this->Attempt(aCall, aChosen, flight->first);
  if (place != this->flights.end()) {
    this->flights.erase(place);
  }
  aCall.caller->OnGone(nullptr);
  return this->AwaitSecond(*flight, std::move(outcome));
}

Outcome
Ingress::AttemptHedged(const Call& aCall,
                       const ChosenTarget& aChosen,
                       const std::vector<Endpoint>& aTried)
{
  struct Race
  {
    std::vector<Outcome> outcomes;
    std::deque<Cancellation> started;
    Signal changed;
  };
  auto race = std::make_shared<Race>();
  // The racers may outlive this call; they share what they need.
  auto call = std::make_shared<const Call>(aCall);
  const auto start = [&](const ChosenTarget& aTarget) {
    Cancellation& cancellation = race->started.emplace_back();
    Spawn([this, race, call, aTarget, &cancellation] {
      race->outcomes.push_back(this->Attempt(*call, aTarget, cancellation));
      race->changed.Notify();
    });
  };
  start(aChosen);
  const auto cancelAll = [race] {
    for (Cancellation& racer : race->started) {
      if (racer.cancel) {
        racer.cancel();
      }
    }
  };
  aCall.caller->OnGone(cancelAll);
  const Duration mean = aCall.route->state->Prior().latency;
  const auto delay = std::chrono::duration_cast<Duration>(mean * kHedgeFactor);
  const bool ended =
    race->changed.WaitUntil(std::min(aCall.terms.deadline, Now() + delay));
  if (!ended && aCall.route->state->retries.Spend()) {
    const ChosenTarget second = this->ChooseFor(aCall, aTried);
    if (second.target) {
      start(second);
    }
  }
  const auto answered = [](const Outcome& aOutcome) {
    return std::holds_alternative<Answered>(aOutcome);
  };
  while (race->outcomes.size() < race->started.size() &&
         std::ranges::none_of(race->outcomes, answered)) {
    race->changed.Wait();
  }
  aCall.caller->OnGone(nullptr);
  const auto best = std::ranges::find_if(race->outcomes, answered);
  if (best != race->outcomes.end()) {
    Outcome outcome = std::move(*best);
    cancelAll();
    return outcome;
  }
  // Without an answer, "not run" needs that neither attempt may have run.
  const auto unknown =
    std::ranges::find_if(race->outcomes, [](const Outcome& aOutcome) {
      return std::holds_alternative<OutcomeUnknown>(aOutcome);
    });
  return unknown != race->outcomes.end() ? *unknown : race->outcomes.front();
}

void
Ingress::Learn(const Call& aCall,
               TargetRef& aTarget,
               const AttemptResult& aResult,
               Duration aLatency)
{
  ServiceState& state = *aCall.route->state;
  if (aResult.load) {
    aTarget.load.Report(*aResult.load, Now());
    state.ObserveOthers(aTarget.load.OthersPerSlot());
    constexpr double kPercent = 100;
    state.ObserveSlowness(aResult.load->slowness / kPercent);
  }
  std::visit(Overloaded{
               [&](const Answered& aAnswer) {
                 if (aResult.held > Duration::zero()) {
                   aTarget.load.MeasuredWay(aLatency - aResult.held);
                   aCall.rule->state->Observe(aResult.work,
                                              aAnswer.response.body.size());
                 }
                 aTarget.breaker.Succeeded();
                 aTarget.load.Measured(aLatency, Now());
                 state.Observe(aLatency);
               },
               [&](const NotRun& aRefusal) {
                 switch (aRefusal.reason) {
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
               },
               [&](const OutcomeUnknown& aUnknown) {
                 // A lost link is no sign of a failing target; whether it can
                 // be reached again shows when the link reconnects.
                 if (aUnknown.cause != UnknownCause::LinkLost &&
                     aUnknown.cause != UnknownCause::Cancelled) {
                   aTarget.breaker.Failed(Now());
                 }
               },
             },
             aResult.outcome);
}

Response
Ingress::Conclude(const Call& aCall,
                  Outcome aOutcome,
                  ServiceStats& aStats) const
{
  const Duration latency = Now() - aCall.began;
  const ServiceSpec& spec = aCall.route->service->spec;
  return std::visit(
    Overloaded{
      [&](Answered& aAnswered) {
        aStats.Record(ClassOf(aAnswered.response, spec, latency), latency);
        return std::move(aAnswered.response);
      },
      [&](NotRun& aRefusal) {
        aStats.Record(CallClass::NotRun, latency);
        Log(kChannel,
            LogLevel::Info,
            "call not run",
            { { "service", spec.name },
              { "reason", std::string(Name(aRefusal.reason)) },
              { "detail", aRefusal.detail } });
        return NotRunResponse(aRefusal,
                              this->settings.headers.fractionalRetryAfter);
      },
      [&](OutcomeUnknown& aUnknown) {
        aStats.Record(CallClass::Unknown, latency);
        Log(kChannel,
            LogLevel::Info,
            "outcome of a call unknown",
            { { "service", spec.name },
              { "detail", std::string(Describe(aUnknown.cause)) } });
        return UnknownResponse(aUnknown);
      },
    },
    aOutcome);
}

}
