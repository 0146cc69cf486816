#include "baobab/node/ingress_call.hpp"

#include "baobab/core/http_syntax.hpp"
#include "baobab/decision/quarantine.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/node/headers.hpp"

#include <algorithm>
#include <charconv>

namespace baobab {
namespace {

/// Returns the remaining time that the caller's deadline header allows; nothing
/// if it has none or it is malformed.
std::optional<Millis>
CallerTimeout(const Request& aRequest, std::string_view aHeaderName)
{
  const auto text = FindHeader(aRequest.headers, aHeaderName);
  std::int64_t millis = 0;
  const auto [end, code] =
    std::from_chars(text.data(), text.data() + text.size(), millis);
  if (text.empty() || code != std::errc{} || millis < 0) {
    return std::nullopt;
  }
  return Millis(millis);
}

CallTerms
TermsOf(const Route& aRoute,
        const CallAccess& aAccess,
        const Request& aRequest,
        std::string_view aDeadlineHeader,
        TimePoint aStartedAt)
{
  Duration time = aRoute.spec.timeout;
  Duration waitedBefore = Duration::zero();
  if (const auto callerTimeout = CallerTimeout(aRequest, aDeadlineHeader)) {
    time = std::min<Duration>(time, *callerTimeout);
    waitedBefore =
      aRoute.state->earlierWait.Observe(*callerTimeout, aStartedAt);
  }
  CallTerms terms;
  terms.deadline = aStartedAt + time;
  terms.objective = aStartedAt + aRoute.spec.objective - waitedBefore;
  terms.priority = CallPriority(aAccess, aRoute.spec);
  terms.workspace = aAccess.workspace ? aAccess.workspace->id : 0;
  terms.idempotent = IsIdempotent(
    aRoute.spec, aRoute.owner->spec, aRequest.method, aRequest.target);
  return terms;
}

/// Removes the caller's key and the headers that only daemons may set from the
/// caller's request, and adds those of the calling service and workspace.
void
ReplaceReservedHeaders(Request& aRequest,
                       const CallAccess& aAccess,
                       const Settings& aSettings)
{
  const HeaderNames& names = aSettings.headers;
  std::erase_if(aRequest.headers, [&](const HeaderField& aField) {
    return IsReservedHeader(aField.name) ||
           SameHeaderName(aField.name, names.deadline) ||
           SameHeaderName(aField.name, names.callerService) ||
           SameHeaderName(aField.name, names.targetInstance);
  });
  if (!aSettings.service.empty()) {
    aRequest.headers.push_back({ names.callerService, aSettings.service });
  }
  ReplaceWorkspaceHeaders(aRequest.headers, aAccess, names.workspace);
}

/// Returns the request's suspicion, if it is suspected of crashing targets.
std::optional<Suspect>
FindSuspect(const Request& aRequest, const RcuCell<RouteTable>& aRoutes)
{
  return aRoutes.Read([&](const RouteTable& aTable) -> std::optional<Suspect> {
    if (aTable.suspects.empty()) {
      return std::nullopt;
    }
    const Fingerprint fingerprint = FingerprintOf(aRequest);
    const auto found = std::ranges::lower_bound(
      aTable.suspects, fingerprint, {}, &Suspect::fingerprint);
    return found != aTable.suspects.end() && found->fingerprint == fingerprint
             ? std::optional(*found)
             : std::nullopt;
  });
}

}

bool
IsQuarantined(const IngressCall& aCall)
{
  return aCall.suspect && aCall.serviceRoute &&
         aCall.suspect->weight >=
           aCall.serviceRoute->service->spec.quarantine.threshold;
}

IngressCall
PrepareCall(std::shared_ptr<const Route> aRoute,
            CallAccess aAccess,
            Request&& aRequest,
            const RcuCell<RouteTable>& aRoutes,
            const Settings& aSettings,
            SplitMix& aRandom)
{
  const HeaderNames& names = aSettings.headers;
  IngressCall call;
  call.startedAt = Now();
  call.terms =
    TermsOf(*aRoute, aAccess, aRequest, names.deadline, call.startedAt);
  const double tracedShare = aRoutes.Read(
    [](const RouteTable& aTable) { return aTable.live.logCallShare; });
  call.terms.traced = UniformFraction(aRandom) < tracedShare;
  call.record = std::make_shared<CallRecord>(
    std::string(FindHeader(aRequest.headers, names.requestId)),
    call.terms.traced,
    call.startedAt);
  ReplaceReservedHeaders(aRequest, aAccess, aSettings);
  call.keysOutdated = aAccess.outdated;
  call.workspace = std::move(aAccess.workspace);
  aRequest.service = aRoute->PickService(aRandom);
  call.serviceRoute = aRoutes.Read([&](const RouteTable& aTable) {
    return aTable.FindService(aRequest.service);
  });
  call.route = std::move(aRoute);
  call.request = std::move(aRequest);
  call.suspect = FindSuspect(call.request, aRoutes);
  return call;
}

}
