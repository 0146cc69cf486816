#include "baobab/node/ingress.hpp"

#include "baobab/core/result.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/decision/retry_state.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"
#include "baobab/node/hedge.hpp"
#include "baobab/node/responses.hpp"

#include <algorithm>

namespace baobab {
namespace {

constexpr unsigned kServerError = 500;

/// Largest accepted body of a request without a route. The request is read, so
/// that its caller gets the response that says there is no route.
constexpr std::int64_t kUnroutedBodyBytes = 1 << 20;

/// Time for which an idle connection is kept beyond the configured limit, so
/// that it is not closed while a request sent just in time is in transit.
constexpr Duration kIdleMargin = 1s;

/// Number of targets that may refuse a call because another one is expected to
/// be faster.
constexpr std::size_t kMaxRefusalsForFasterTarget = 2;

/// Time after which a caller may send a request again that was refused because
/// keys are outdated.
constexpr Micros kLeaseRetry = 500ms;

std::string_view
HostOf(const Request& aRequest)
{
  return WithoutPort(FindHeader(aRequest.headers, "Host"));
}

/// True if a request may run beside others of its connection: it may be
/// repeated, and the answers that wait for those before them are small.
bool
MayOverlap(const Route& aRoute, const HttpHead& aHead)
{
  switch (aRoute.spec.kind) {
    case RouteKind::Idempotent:
      return true;
    case RouteKind::ByMethod:
      return (aHead.method == "GET" || aHead.method == "HEAD") &&
             IsIdempotent(
               aRoute.spec, aRoute.owner->spec, aHead.method, aHead.target);
    case RouteKind::NonIdempotent:
    case RouteKind::Download:
      break;
  }
  return false;
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
  return aLatency > aCall.route->spec.objective ? CallClass::Late
                                                : CallClass::Good;
}

/// Refusal of a call whose key may have been withdrawn.
NotRun
OutdatedKeys()
{
  return { RefusalReason::KeysOutdated,
           "it is not known whether the key is still valid",
           false,
           kLeaseRetry };
}

/// True for a refusal that says nothing of the load on a route.
bool
IsRefusedByWorkspace(const Outcome& aOutcome)
{
  const auto* refusal = std::get_if<NotRun>(&aOutcome);
  return refusal != nullptr && (refusal->reason == RefusalReason::OverQuota ||
                                refusal->reason == RefusalReason::KeysOutdated);
}

/// Returns the reason of a call's outcome for the log; empty if it was
/// answered.
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
                 QuotaGate& aQuotas,
                 const LeaseCell& aLease,
                 LinkIdentity aIdentity,
                 const Settings& aSettings)
  : routes(aRoutes)
  , quotas(aQuotas)
  , lease(aLease)
  , settings(aSettings)
  , runner(
      aContext,
      std::move(aIdentity),
      [this](const Endpoint& aEndpoint, const LoadReport& aLoad) {
        this->UpdateLoad(aEndpoint, aLoad);
      },
      aRoutes,
      aSettings)
  , watchedAttempts(this->runner)
  , random(EntropySeed())
  , keyRefusals(kKeyRefused)
{
}

HttpHandler
Ingress::Handler()
{
  return {
    [this](const HttpHead& aHead) -> std::size_t {
      return this->routes.Read([&](const RouteTable& aTable) {
        const auto route = aTable.FindRoute(aHead.host, aHead.target);
        const std::int64_t routeLimit =
          route ? route->owner->spec.limits.bodyBytes : kUnroutedBodyBytes;
        return static_cast<std::size_t>(
          std::min(routeLimit, aTable.callerLimits.bodyBytes));
      });
    },
    [this](Request&& aRequest, DisconnectNotifier& aCaller) {
      return this->Answer(std::move(aRequest), aCaller);
    },
    [](HttpRequestError aError) {
      if (aError == HttpRequestError::OutOfMemory) {
        ProcessMemory().RecordRefusal(MemoryPart::Requests);
        Log(kOutOfMemory,
            Name(MemoryPart::Requests),
            ProcessMemory().Held(MemoryPart::Requests),
            ProcessMemory().Total());
      }
      return MarkNotRun(InvalidRequestResponse(aError));
    },
    [this] { return this->Limits(); },
    [this](const HttpHead& aHead) {
      return this->routes.Read([&](const RouteTable& aTable) {
        const auto route = aTable.FindRoute(aHead.host, aHead.target);
        return route && MayOverlap(*route, aHead);
      });
    },
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
Ingress::Answer(Request&& aRequest, DisconnectNotifier& aCaller)
{
  auto [route, workspaces, generation] =
    this->routes.Read([&](const RouteTable& aTable) {
      return std::tuple(aTable.FindRoute(HostOf(aRequest), aRequest.target),
                        aTable.workspaces,
                        aTable.generation);
    });
  if (!route) {
    return this->NoRouteResponse();
  }
  const HeaderField id{
    this->settings.headers.requestId,
    std::string(FindHeader(aRequest.headers, this->settings.headers.requestId))
  };
  CallAccess access = CheckAccess(*workspaces, route->spec, aRequest.headers);
  access.outdated = !this->KeysAreCurrent(generation);
  Response response =
    access.Allowed()
      ? this->Run(
          std::move(route), std::move(access), std::move(aRequest), aCaller)
      : this->RefuseKey(access);
  if (!id.value.empty() && FindHeader(response.headers, id.name).empty()) {
    response.headers.push_back(id);
  }
  return response;
}

/// Refuses a request without a valid key. An unknown one may belong to a
/// configuration that this daemon has not received.
Response
Ingress::RefuseKey(const CallAccess& aAccess)
{
  this->keyRefusals.Record(Name(aAccess.check), Now());
  return aAccess.check == KeyCheck::Unknown && aAccess.outdated
           ? NotRunResponse(OutdatedKeys(),
                            this->settings.headers.fractionalRetryAfter)
           : NoAccessResponse(aAccess.check);
}

Response
Ingress::Run(std::shared_ptr<const Route> aRoute,
             CallAccess aAccess,
             Request&& aRequest,
             DisconnectNotifier& aCaller)
{
  IngressCall call = PrepareCall(std::move(aRoute),
                                 std::move(aAccess),
                                 std::move(aRequest),
                                 this->routes,
                                 this->settings,
                                 this->random);
  call.caller = &aCaller;
  return call.serviceRoute ? this->Serve(call)
                           : this->RefuseUnknownService(call);
}

/// Refuses a request if the service chosen for it is not known.
Response
Ingress::RefuseUnknownService(const IngressCall& aCall)
{
  return this->FinishCall(
    aCall,
    NotRun{ RefusalReason::NoTarget, "the service of the route is not known" },
    aCall.route->owner->spec.name);
}

Response
Ingress::Serve(IngressCall& aCall)
{
  const std::string& service = aCall.serviceRoute->service->spec.name;
  if (auto refusal = RefusalByWorkspace(aCall)) {
    return this->FinishCall(aCall, std::move(*refusal), service);
  }
  QuotaTicket ticket;
  if (aCall.workspace) {
    auto admitted =
      this->quotas.Admit(aCall.workspace->spec, aCall.workspace->id);
    if (auto* refusal = std::get_if<NotRun>(&admitted)) {
      return this->FinishCall(aCall, std::move(*refusal), service);
    }
    ticket = std::move(std::get<QuotaTicket>(admitted));
  }
  aCall.serviceRoute->state->retryBudget.Earn();
  aCall.stats = &this->stats[service];
  Outcome outcome = this->RunAttempts(aCall);
  if (std::holds_alternative<NotRun>(outcome)) {
    QuotaGate::Return(ticket);
  }
  return this->FinishCall(aCall, std::move(outcome), service);
}

/// True if the keys of a configuration are known to be valid still.
bool
Ingress::KeysAreCurrent(std::uint64_t aGeneration) const
{
  const Duration time = this->settings.workspaces.revocationTime;
  return time == Duration::zero() ||
         ProvesKeys(this->lease.Get(), aGeneration, time, BootNow());
}

/// Returns why the caller's workspace may not run the call now; nothing if it
/// may.
std::optional<NotRun>
Ingress::RefusalByWorkspace(const IngressCall& aCall) const
{
  if (!aCall.workspace) {
    return std::nullopt;
  }
  if (aCall.keysOutdated) {
    return OutdatedKeys();
  }
  return std::nullopt;
}

/// Returns the response to a request for which there is no route. Before the
/// first configuration it is one that asks to retry.
Response
Ingress::NoRouteResponse() const
{
  const bool configured = this->routes.Read(
    [](const RouteTable& aTable) { return aTable.generation > 0; });
  if (!configured) {
    return NotRunResponse(
      { RefusalReason::NotReady, "no configuration has been loaded yet" },
      this->settings.headers.fractionalRetryAfter);
  }
  return MarkNotRun(
    TextResponse(404, "Not run: there is no route for this host and path.\n"));
}

Outcome
Ingress::RunAttempts(const IngressCall& aCall)
{
  if (IsQuarantined(aCall)) {
    return NotRun{ RefusalReason::Quarantined,
                   std::string(kQuarantinedDetail) };
  }
  const ServiceSpec& spec = aCall.serviceRoute->service->spec;
  RetryState retryState(
    aCall.terms.idempotent, aCall.route->spec.attempts, aCall.terms.deadline);
  std::vector<Endpoint> tried;
  bool secondRound = false;
  while (true) {
    ChosenTarget chosen = this->runner.Choose(aCall, tried);
    if (!chosen.target && retryState.GrantSecondRound()) {
      secondRound = true;
      tried.clear();
      chosen = this->runner.Choose(aCall, tried);
    }
    if (!chosen.target) {
      break;
    }
    if (secondRound || tried.size() >= kMaxRefusalsForFasterTarget) {
      chosen.alternative = Duration::zero();
    }
    ++aCall.stats->attempts;
    aCall.stats->crossRegionAttempts +=
      chosen.tier == Tier::OtherRegion ? 1 : 0;
    tried.push_back(chosen.target->endpoint);
    Outcome outcome =
      aCall.terms.idempotent && spec.hedge.enabled
        ? RunHedged(this->runner, aCall, chosen, tried, retryState.TakePermit())
        : this->watchedAttempts.Run(aCall, chosen, retryState);
    if (retryState.OnOutcome(std::move(outcome),
                             aCall.serviceRoute->state->retryBudget,
                             Now()) == RetryDecision::Finish ||
        aCall.caller->Disconnected()) {
      break;
    }
  }
  if (retryState.Attempts() == 0 && aCall.Regions().Confined() &&
      aCall.serviceRoute->HasTargets()) {
    return NotRun{ RefusalReason::RegionFull,
                   "no target may be used in the regions of the call" };
  }
  Outcome result = retryState.TakeResult();
  if (auto* refusal = std::get_if<NotRun>(&result)) {
    refusal->retried = refusal->retried || retryState.Attempts() > 1;
  }
  return result;
}

void
Ingress::UpdateLoad(const Endpoint& aEndpoint, const LoadReport& aLoad)
{
  constexpr double kPercent = 100;
  this->runner.UpdateLoad(aEndpoint, aLoad);
  this->watchedAttempts.OnSlowness(aEndpoint, aLoad.slowness / kPercent);
}

/// Counts and logs the outcome of a call, and returns the response to its
/// caller.
Response
Ingress::FinishCall(const IngressCall& aCall,
                    Outcome aOutcome,
                    const std::string& aService)
{
  const Duration latency = Now() - aCall.startedAt;
  const RouteSpec& route = aCall.route->spec;
  CallSummary summary;
  summary.service = aService;
  summary.route = route.host + route.pathPrefix;
  summary.idempotent = aCall.terms.idempotent;
  summary.callClass = ClassOf(aOutcome, aCall, latency);
  summary.detail = DetailOf(aOutcome);
  summary.duration = latency;
  summary.timeLimit = aCall.terms.deadline - aCall.startedAt;
  summary.generation = this->routes.Read(
    [](const RouteTable& aTable) { return aTable.generation; });
  this->stats[aService].Record(summary.idempotent, summary.callClass, latency);
  if (summary.callClass != CallClass::Good &&
      summary.callClass != CallClass::Late && !IsRefusedByWorkspace(aOutcome)) {
    aCall.route->state->earlierWait.RecordFailure(Now());
  }
  Response response = std::visit(
    Overloaded{
      [](Answered& aAnswered) { return std::move(aAnswered.response); },
      [&](const NotRun& aRefusal) {
        return NotRunResponse(aRefusal,
                              this->settings.headers.fractionalRetryAfter);
      },
      [](const OutcomeUnknown& aUnknown) {
        return UnknownOutcomeResponse(aUnknown);
      },
    },
    aOutcome);
  summary.status = aCall.caller->Disconnected() ? 0 : response.status;
  aCall.record->Finish(summary);
  return response;
}

}
