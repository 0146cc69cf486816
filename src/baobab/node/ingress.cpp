#include "baobab/node/ingress.hpp"

#include "baobab/core/result.hpp"
#include "baobab/decision/call_plan.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/node/hedge.hpp"
#include "baobab/node/responses.hpp"

#include <algorithm>

namespace baobab {
namespace {

constexpr unsigned kServerError = 500;

/// Body that a request without a route may have, so that it is read and gets
/// its answer.
constexpr std::int64_t kUnroutedBodyBytes = 1 << 20;

/// Time for which an idle connection is kept beyond the configured limit, so
/// that a request that was sent in time is not met by a close.
constexpr Duration kIdleMargin = 1s;

/// Times that a call may be handed back for the sake of a faster target.
constexpr std::size_t kMostHandBacks = 2;

std::string_view
HostOf(const Request& aRequest)
{
  return WithoutPort(FindHeader(aRequest.headers, "Host"));
}

CallClass
ClassOf(const Outcome& aOutcome, const IngressCall& aCall, Duration aLatency)
{
  if (std::holds_alternative<NotRun>(aOutcome)) {
    return CallClass::NotRun;
  }
  const auto* answer = std::get_if<Answered>(&aOutcome);
  if (answer == nullptr) {
    return CallClass::Unknown;
  }
  if (answer->response.status >= kServerError) {
    return CallClass::Failed;
  }
  const Duration objective = aCall.terms.objective - aCall.began;
  return aLatency > objective ? CallClass::Late : CallClass::Good;
}

/// What the log says about the end of a call.
std::string
DetailOf(const Outcome& aOutcome)
{
  if (const auto* refusal = std::get_if<NotRun>(&aOutcome)) {
    return std::string(Name(refusal->reason)) + ": " + refusal->detail;
  }
  if (const auto* unknown = std::get_if<OutcomeUnknown>(&aOutcome)) {
    return std::string(Describe(unknown->cause));
  }
  return "";
}

}

Ingress::Ingress(boost::asio::io_context& aContext,
                 const RcuCell<RouteTable>& aRoutes,
                 LinkIdentity aIdentity,
                 const Settings& aSettings)
  : routes(aRoutes)
  , settings(aSettings)
  , runner(
      aContext,
      std::move(aIdentity),
      [this](const Endpoint& aEndpoint, const LoadReport& aLoad) {
        this->TakeLoad(aEndpoint, aLoad);
      },
      aRoutes,
      aSettings)
  , attempts(this->runner)
  , random(EntropySeed())
{
}

HttpHandler
Ingress::Handler()
{
  return {
    [this](const HttpHead& aHead) -> std::size_t {
      return this->routes.Read([&](const RouteTable& aTable) {
        const auto rule = aTable.FindRoute(aHead.host, aHead.target);
        const std::int64_t own =
          rule ? rule->owner->spec.limits.bodyBytes : kUnroutedBodyBytes;
        return static_cast<std::size_t>(
          std::min(own, aTable.callerLimits.bodyBytes));
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
  const CallerLimits callers = this->routes.Read(
    [](const RouteTable& aTable) { return aTable.callerLimits; });
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
    return aTable.FindRoute(HostOf(aRequest), aRequest.target);
  });
  if (!rule) {
    return this->Unrouted();
  }
  const HeaderField id{
    this->settings.headers.requestId,
    std::string(FindHeader(aRequest.headers, this->settings.headers.requestId))
  };
  IngressCall call = PrepareCall(std::move(rule),
                                 std::move(aRequest),
                                 this->routes,
                                 this->settings,
                                 this->random);
  call.caller = &aCaller;
  Response response = call.route ? this->Serve(call) : this->Unserved(call);
  if (!id.value.empty() && FindHeader(response.headers, id.name).empty()) {
    response.headers.push_back(id);
  }
  return response;
}

/// Answers a request whose route names no service that is known.
Response
Ingress::Unserved(const IngressCall& aCall)
{
  return this->Conclude(aCall,
                        NotRun{ RefusalReason::NoTarget,
                                "the route names no service that is known" },
                        aCall.rule->owner->spec.name);
}

Response
Ingress::Serve(IngressCall& aCall)
{
  const std::string& service = aCall.route->service->spec.name;
  aCall.route->state->retries.Earn();
  aCall.stats = &this->stats[service];
  Outcome outcome = this->Carry(aCall);
  return this->Conclude(aCall, std::move(outcome), service);
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

Outcome
Ingress::Carry(const IngressCall& aCall)
{
  const ServiceSpec& spec = aCall.route->service->spec;
  CallPlan plan(
    aCall.terms.idempotent, aCall.rule->spec.attempts, aCall.terms.deadline);
  std::vector<Endpoint> tried;
  bool insists = false;
  while (true) {
    ChosenTarget chosen = this->runner.Choose(aCall, tried);
    if (!chosen.target && plan.MayInsist()) {
      insists = true;
      tried.clear();
      chosen = this->runner.Choose(aCall, tried);
    }
    if (!chosen.target) {
      break;
    }
    if (insists || tried.size() >= kMostHandBacks) {
      chosen.alternative = Duration::zero();
    }
    ++aCall.stats->attempts;
    aCall.stats->spilled += chosen.tier == Tier::OtherRegion ? 1 : 0;
    tried.push_back(chosen.target->endpoint);
    Outcome outcome = aCall.terms.idempotent && spec.hedge.enabled
                        ? RunHedged(this->runner, aCall, chosen, tried)
                        : this->attempts.Run(aCall, chosen, plan);
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

void
Ingress::TakeLoad(const Endpoint& aEndpoint, const LoadReport& aLoad)
{
  constexpr double kPercent = 100;
  this->runner.TakeLoad(aEndpoint, aLoad);
  this->attempts.OnSlowness(aEndpoint, aLoad.slowness / kPercent);
}

/// Counts and logs how a call ended, and makes the caller's answer of it.
Response
Ingress::Conclude(const IngressCall& aCall,
                  Outcome aOutcome,
                  const std::string& aService)
{
  const Duration latency = Now() - aCall.began;
  const RouteSpec& route = aCall.rule->spec;
  CallEnd end;
  end.service = aService;
  end.route = route.host + route.pathPrefix;
  end.idempotent = aCall.terms.idempotent;
  end.callClass = ClassOf(aOutcome, aCall, latency);
  end.detail = DetailOf(aOutcome);
  end.took = latency;
  end.time = aCall.terms.deadline - aCall.began;
  end.generation = this->routes.Read(
    [](const RouteTable& aTable) { return aTable.generation; });
  this->stats[aService].Record(end.idempotent, end.callClass, latency);
  Response response = std::visit(
    Overloaded{
      [](Answered& aAnswered) { return std::move(aAnswered.response); },
      [&](const NotRun& aRefusal) {
        return NotRunResponse(aRefusal,
                              this->settings.headers.fractionalRetryAfter);
      },
      [](const OutcomeUnknown& aUnknown) { return UnknownResponse(aUnknown); },
    },
    aOutcome);
  end.status = aCall.caller->Gone() ? 0 : response.status;
  aCall.trail->End(end);
  return response;
}

}
