#include "baobab/node/ingress_call.hpp"

#include "baobab/decision/quarantine.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/node/headers.hpp"

#include <algorithm>
#include <charconv>

namespace baobab {
namespace {

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

CallTerms
TermsOf(const Route& aRule,
        const Request& aRequest,
        std::string_view aDeadlineHeader,
        TimePoint aBegan)
{
  Duration time = aRule.spec.timeout;
  if (const auto given = CallerDeadline(aRequest, aDeadlineHeader)) {
    time = std::min<Duration>(time, *given);
  }
  CallTerms terms;
  terms.deadline = aBegan + time;
  terms.objective = aBegan + aRule.spec.objective;
  terms.priority = static_cast<std::uint8_t>(aRule.spec.priority);
  terms.idempotent = IsIdempotent(
    aRule.spec, aRule.owner->spec, aRequest.method, aRequest.target);
  return terms;
}

/// Replaces the headers that only this system may set.
void
SetOwnHeaders(Request& aRequest, const Settings& aSettings)
{
  const HeaderNames& names = aSettings.headers;
  std::erase_if(aRequest.headers, [&](const HeaderField& aField) {
    return IsOwnHeader(aField.name) ||
           SameHeader(aField.name, names.deadline) ||
           SameHeader(aField.name, names.callerService) ||
           SameHeader(aField.name, names.targetInstance);
  });
  if (!aSettings.service.empty()) {
    aRequest.headers.push_back({ names.callerService, aSettings.service });
  }
}

std::optional<std::uint64_t>
SuspectOf(const Request& aRequest, const RcuCell<RouteTable>& aRoutes)
{
  return aRoutes.Read(
    [&](const RouteTable& aTable) -> std::optional<std::uint64_t> {
      if (aTable.suspects.empty()) {
        return std::nullopt;
      }
      const Fingerprint fingerprint = FingerprintOf(aRequest);
      return std::ranges::binary_search(aTable.suspects, fingerprint)
               ? std::optional(fingerprint)
               : std::nullopt;
    });
}

}

IngressCall
PrepareCall(std::shared_ptr<const Route> aRule,
            Request&& aRequest,
            const RcuCell<RouteTable>& aRoutes,
            const Settings& aSettings,
            SplitMix& aRandom)
{
  const HeaderNames& names = aSettings.headers;
  IngressCall call;
  call.began = Now();
  call.terms = TermsOf(*aRule, aRequest, names.deadline, call.began);
  const double traced = aRoutes.Read(
    [](const RouteTable& aTable) { return aTable.live.logCallShare; });
  call.terms.traced = Fraction(aRandom) < traced;
  call.trail = std::make_shared<CallTrail>(
    std::string(FindHeader(aRequest.headers, names.requestId)),
    call.terms.traced,
    call.began);
  SetOwnHeaders(aRequest, aSettings);
  aRequest.service = aRule->PickService(aRandom);
  call.route = aRoutes.Read([&](const RouteTable& aTable) {
    return aTable.FindService(aRequest.service);
  });
  call.rule = std::move(aRule);
  call.request = std::move(aRequest);
  call.suspect = SuspectOf(call.request, aRoutes);
  return call;
}

}
