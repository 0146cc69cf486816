#include "baobab/core/service.hpp"

#include <array>
#include <cctype>
#include <charconv>
#include <map>
#include <optional>

namespace baobab {
namespace {

using S = ServiceSpec;

constexpr IntegerRange kBytes{ 0, 1LL << 30U };

std::vector<Field<S>>
BuildSchema()
{
  std::vector<Field<S>> schema;
  const auto add = [&](Field<S> aField) {
    schema.push_back(std::move(aField));
  };
  add(Required(Plain<S>(
    "name", [](S& s) -> auto& { return s.name; }, "Name of the service.")));
  add(Required(Integer<S>(
    "revision",
    [](S& s) -> auto& { return s.revision; },
    { 1, 1LL << 52U },
    "",
    "Raised with each change of the file.")));
  add(Plain<S>(
    "retired",
    [](S& s) -> auto& { return s.retired; },
    "Withdraws the service; keep the file until every zone has it."));
  add(Plain<S>(
    "unrouted",
    [](S& s) -> auto& { return s.unrouted; },
    "Allows a file without routes; routes of other files may name the "
    "service."));
  add(Plain<S>(
    "hosts",
    [](S& s) -> auto& { return s.hosts; },
    "Host header values that callers use."));
  add(Plain<S>(
    "path_prefix",
    [](S& s) -> auto& { return s.pathPrefix; },
    "Path prefix of the service's requests."));
  add(Plain<S>(
    "health_path",
    [](S& s) -> auto& { return s.healthPath; },
    "Path that tells health and load of a target."));
  add(Integer<S>(
    "connections",
    [](S& s) -> auto& { return s.connections; },
    { 0, 10000 },
    "connections",
    "Connections that a target accepts; 0: as the settings say."));
  add(Integer<S>(
    "callers.header_bytes",
    [](S& s) -> auto& { return s.callers.headerBytes; },
    { 1024, 1 << 20 },
    "bytes",
    "Largest request header of any caller; the lowest of all files counts."));
  add(Integer<S>(
    "callers.body_bytes",
    [](S& s) -> auto& { return s.callers.bodyBytes; },
    kBytes,
    "bytes",
    "Largest request body of any caller; the lowest of all files counts."));
  add(Time<S>(
    "callers.header_ms",
    [](S& s) -> auto& { return s.callers.headerTime; },
    { 10, 600000 },
    "ms",
    "Time for a caller to send a header; the lowest of all files counts."));
  add(Time<S>(
    "callers.idle_ms",
    [](S& s) -> auto& { return s.callers.idleTime; },
    { 10, 600000 },
    "ms",
    "Time that a caller connection may be idle; the lowest of all counts."));
  add(Time<S>(
    "deadline_ms",
    [](S& s) -> auto& { return s.deadline; },
    { 1, 600000 },
    "ms",
    "Time a caller waits for an answer at most."));
  add(OneOf<S, PolicyKind>(
    "policy",
    [](S& s) -> auto& { return s.policy; },
    { { "expected_finish", PolicyKind::ExpectedFinish },
      { "load_aware", PolicyKind::LoadAware },
      { "random", PolicyKind::Random },
      { "round_robin", PolicyKind::RoundRobin },
      { "least_known", PolicyKind::LeastKnown } },
    "How a target is chosen."));
  add(Time<S>(
    "ramp_ms",
    [](S& s) -> auto& { return s.ramp; },
    { 0, 600000 },
    "ms",
    "Time in which a target that became ready reaches its full share."));
  add(Plain<S>(
    "idempotent_paths",
    [](S& s) -> auto& { return s.idempotentPaths; },
    "Path prefixes whose calls may be repeated whatever their method."));
  add(Plain<S>(
    "non_idempotent_paths",
    [](S& s) -> auto& { return s.nonIdempotentPaths; },
    "Path prefixes whose calls must not be repeated whatever their method."));
  add(Plain<S>(
    "claims.paths",
    [](S& s) -> auto& { return s.claimPaths; },
    "Path prefixes whose calls with an Idempotency-Key run at most once."));
  add(OneOf<S, ClaimFallback>(
    "claims.store_away",
    [](S& s) -> auto& { return s.claimFallback; },
    { { "refuse", ClaimFallback::Refuse }, { "run", ClaimFallback::Run } },
    "What happens to such a call while the store is away."));
  add(Integer<S>(
    "limits.body_bytes",
    [](S& s) -> auto& { return s.limits.bodyBytes; },
    { 0, 64LL << 20U },
    "bytes",
    "Largest request body."));
  add(Integer<S>(
    "limits.answer_bytes",
    [](S& s) -> auto& { return s.limits.answerBytes; },
    { 0, 64LL << 20U },
    "bytes",
    "Largest answer body."));
  add(Integer<S>(
    "limits.queue_length",
    [](S& s) -> auto& { return s.limits.queueLength; },
    { 0, 4096 },
    "calls",
    "Calls that wait at one target at most."));
  add(Time<S>(
    "limits.queue_ms",
    [](S& s) -> auto& { return s.limits.queueTime; },
    { 0, 60000 },
    "ms",
    "Time a call waits at one target at most."));
  add(Real<S>(
    "retry.ratio",
    [](S& s) -> auto& { return s.retry.ratio; },
    0,
    1,
    "retries per call",
    "Retries that each first attempt earns."));
  add(Integer<S>(
    "retry.burst",
    [](S& s) -> auto& { return s.retry.burst; },
    { 0, 10000 },
    "retries",
    "Retries that a daemon may save up."));
  add(Integer<S>(
    "retry.attempts",
    [](S& s) -> auto& { return s.retry.attempts; },
    { 1, 10 },
    "attempts",
    "Attempts of one call at most."));
  add(Plain<S>(
    "hedge.enabled",
    [](S& s) -> auto& { return s.hedge.enabled; },
    "Starts a second attempt of a slow idempotent call."));
  add(Real<S>(
    "hedge.quantile",
    [](S& s) -> auto& { return s.hedge.quantile; },
    0.5,
    0.999,
    "quantile",
    "Latency quantile after which the second attempt starts."));
  add(Integer<S>(
    "measuring.bytes_per_second",
    [](S& s) -> auto& { return s.measuring.bytesPerSecond; },
    kBytes,
    "bytes/s",
    "Load reports and probes of the whole fleet."));
  add(Integer<S>(
    "measuring.cross_region_bytes_per_second",
    [](S& s) -> auto& { return s.measuring.crossRegionBytesPerSecond; },
    kBytes,
    "bytes/s",
    "The part of it that may cross region links; 0 forbids it."));
  add(Plain<S>(
    "spill.cross_region",
    [](S& s) -> auto& { return s.spill.crossRegion; },
    "Sends calls to another region while the own one has no room."));
  add(Integer<S>(
    "spill.bytes_per_second",
    [](S& s) -> auto& { return s.spill.bytesPerSecond; },
    kBytes,
    "bytes/s",
    "Bytes of such calls for the whole fleet."));
  add(Real<S>(
    "objective.availability",
    [](S& s) -> auto& { return s.objective.availability; },
    0.5,
    0.99999,
    "fraction",
    "Fraction of good calls."));
  add(Time<S>(
    "objective.latency_ms",
    [](S& s) -> auto& { return s.objective.latency; },
    { 1, 600000 },
    "ms",
    "Latency that a good call keeps."));
  add(Real<S>(
    "objective.latency_quantile",
    [](S& s) -> auto& { return s.objective.latencyQuantile; },
    0.5,
    0.9999,
    "quantile",
    "Fraction of calls that must keep the latency."));
  add(Integer<S>(
    "objective.window_days",
    [](S& s) -> auto& { return s.objective.windowDays; },
    { 1, 90 },
    "days",
    "Window of the objective."));
  add(Real<S>(
    "quarantine.threshold",
    [](S& s) -> auto& { return s.quarantine.threshold; },
    1,
    100,
    "crashes",
    "Weighted crashes after which a request is refused."));
  add(Time<S>(
    "quarantine.lifetime_s",
    [](S& s) -> auto& { return s.quarantine.lifetime; },
    { 1, 86400 },
    "s",
    "Time after which a suspicion lapses."));
  return schema;
}

/// Parses `service:weight`.
std::optional<RoutePart>
ParsePart(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  std::int64_t weight = 0;
  const std::string_view number =
    colon == std::string_view::npos ? "" : aText.substr(colon + 1);
  const auto [end, code] =
    std::from_chars(number.data(), number.data() + number.size(), weight);
  if (code != std::errc{} || end != number.data() + number.size() ||
      weight < 0 || colon == 0) {
    return std::nullopt;
  }
  return RoutePart{ std::string(aText.substr(0, colon)), weight };
}

Field<RouteSpec>
PartsField()
{
  return { { "split",
             "list of strings",
             "",
             "[]",
             "",
             "Services that share the calls, as `service:weight`." },
           false,
           [](RouteSpec& aRoute, const TomlValue& aValue) {
             const auto* list = std::get_if<std::vector<std::string>>(&aValue);
             std::optional<Error> error;
             if (list == nullptr) {
               return std::optional(
                 schema_detail::Expected("a list of 'service:weight'"));
             }
             for (const std::string& text : *list) {
               auto part = ParsePart(text);
               if (!part) {
                 return std::optional(
                   schema_detail::Expected("each part as 'service:weight'"));
               }
               aRoute.parts.push_back(std::move(*part));
             }
             return error;
           } };
}

std::vector<Field<RouteSpec>>
BuildRouteSchema()
{
  using R = RouteSpec;
  return {
    Plain<R>(
      "host",
      [](R& r) -> auto& { return r.host; },
      "Host header without port; any if left out."),
    Required(Plain<R>(
      "path_prefix",
      [](R& r) -> auto& { return r.pathPrefix; },
      "Path prefix; the longest that matches counts.")),
    OneOf<R, RouteKind>(
      "kind",
      [](R& r) -> auto& { return r.kind; },
      { { "by_method", RouteKind::ByMethod },
        { "idempotent", RouteKind::Idempotent },
        { "non_idempotent", RouteKind::NonIdempotent },
        { "download", RouteKind::Download } },
      "Whether a call may be repeated."),
    Time<R>(
      "timeout_ms",
      [](R& r) -> auto& { return r.timeout; },
      { 0, 600000 },
      "ms",
      "Time a caller is kept waiting at most; 0: `deadline_ms`."),
    Integer<R>(
      "attempts",
      [](R& r) -> auto& { return r.attempts; },
      { 0, 10 },
      "targets",
      "Targets that may get one call; 0: `retry.attempts`."),
    Integer<R>(
      "priority",
      [](R& r) -> auto& { return r.priority; },
      { 0, 100 },
      "",
      "Rank among the calls that wait; 0 is the most urgent."),
    Time<R>(
      "objective_ms",
      [](R& r) -> auto& { return r.objective; },
      { 0, 600000 },
      "ms",
      "Time within which an answer has its full worth; 0: "
      "`objective.latency_ms`."),
    PartsField(),
  };
}

/// Index of the route that a key such as `routes.0.host` belongs to, and the
/// key within it.
std::optional<std::pair<std::size_t, std::string>>
RouteKey(const std::string& aKey)
{
  constexpr std::string_view kList = "routes.";
  std::size_t index = 0;
  const char* last = aKey.data() + aKey.size();
  if (!aKey.starts_with(kList)) {
    return std::nullopt;
  }
  const auto [end, code] =
    std::from_chars(aKey.data() + kList.size(), last, index);
  if (code != std::errc{} || end == last || *end != '.') {
    return std::nullopt;
  }
  return std::pair(index, std::string(end + 1, last));
}

Result<std::vector<RouteSpec>>
ReadRoutes(const std::vector<TomlEntry>& aEntries, std::string_view aFile)
{
  std::map<std::size_t, std::vector<TomlEntry>> grouped;
  for (const TomlEntry& entry : aEntries) {
    if (auto key = RouteKey(entry.key)) {
      TomlEntry inner = entry;
      inner.key = std::move(key->second);
      grouped[key->first].push_back(std::move(inner));
    }
  }
  std::vector<RouteSpec> routes;
  for (const auto& [index, entries] : grouped) {
    auto route = ReadEntries(RouteSchema(), entries, aFile);
    if (!Succeeded(route)) {
      return Failure(route);
    }
    routes.push_back(std::move(Value(route)));
  }
  return routes;
}

bool
StartsWithAny(const std::vector<std::string>& aPrefixes,
              std::string_view aTarget)
{
  return std::ranges::any_of(aPrefixes, [&](const std::string& aPrefix) {
    return aTarget.starts_with(aPrefix);
  });
}

bool
IsName(std::string_view aName)
{
  constexpr std::size_t kLongestName = 63;
  return !aName.empty() && aName.size() <= kLongestName &&
         std::ranges::all_of(aName, [](unsigned char aChar) {
           return std::islower(aChar) != 0 || std::isdigit(aChar) != 0 ||
                  aChar == '-' || aChar == '_';
         });
}

Error
DocumentError(std::string_view aFile,
              ErrorKind aKind,
              std::string_view aWhat,
              std::string_view aRemedy)
{
  return { aKind,
           std::string(aFile) + ":1:1: " + std::string(aWhat),
           std::string(aRemedy) };
}

}

const std::vector<Field<ServiceSpec>>&
ServiceSchema()
{
  static const std::vector<Field<ServiceSpec>> schema = BuildSchema();
  return schema;
}

const std::vector<Field<RouteSpec>>&
RouteSchema()
{
  static const std::vector<Field<RouteSpec>> schema = BuildRouteSchema();
  return schema;
}

Result<ServiceSpec>
ParseService(std::string_view aText, std::string_view aFile)
{
  auto entries = ReadToml(aText, aFile);
  if (!Succeeded(entries)) {
    return Failure(entries);
  }
  auto routes = ReadRoutes(Value(entries), aFile);
  if (!Succeeded(routes)) {
    return Failure(routes);
  }
  std::erase_if(Value(entries), [](const TomlEntry& aEntry) {
    return RouteKey(aEntry.key).has_value();
  });
  auto parsed = ReadEntries(ServiceSchema(), Value(entries), aFile);
  if (!Succeeded(parsed)) {
    return parsed;
  }
  ServiceSpec& service = Value(parsed);
  service.routes = std::move(Value(routes));
  if (!IsName(service.name)) {
    return DocumentError(aFile,
                         ErrorKind::OutOfRange,
                         "'name' is not a service name",
                         "use 1 to 63 lower-case letters, digits, hyphens and "
                         "underscores");
  }
  if (!service.retired && service.hosts.empty() && service.pathPrefix.empty() &&
      !service.unrouted && service.routes.empty()) {
    return DocumentError(aFile,
                         ErrorKind::MissingKey,
                         "neither 'hosts', 'path_prefix' nor 'routes' is given",
                         "say by which Host or path callers reach the service, "
                         "or set 'unrouted'");
  }
  const auto isPrefix = [](const std::string& aPrefix) {
    return aPrefix.empty() || aPrefix.front() == '/';
  };
  if (!isPrefix(service.pathPrefix) ||
      !std::ranges::all_of(service.routes, isPrefix, &RouteSpec::pathPrefix)) {
    return DocumentError(aFile,
                         ErrorKind::OutOfRange,
                         "a 'path_prefix' does not start with '/'",
                         "write it as it stands in the request line");
  }
  if (service.measuring.crossRegionBytesPerSecond >
      service.measuring.bytesPerSecond) {
    return DocumentError(
      aFile,
      ErrorKind::OutOfRange,
      "'measuring.cross_region_bytes_per_second' exceeds the whole budget",
      "lower it or raise 'measuring.bytes_per_second'");
  }
  return parsed;
}

bool
IsIdempotent(const ServiceSpec& aService,
             std::string_view aMethod,
             std::string_view aTarget)
{
  if (StartsWithAny(aService.nonIdempotentPaths, aTarget)) {
    return false;
  }
  if (StartsWithAny(aService.idempotentPaths, aTarget)) {
    return true;
  }
  constexpr std::array<std::string_view, 6> kIdempotentMethods = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"
  };
  return std::ranges::find(kIdempotentMethods, aMethod) !=
         kIdempotentMethods.end();
}

std::vector<RouteSpec>
RoutesOf(const ServiceSpec& aService)
{
  std::vector<RouteSpec> routes;
  for (const std::string& host : aService.hosts) {
    routes.push_back({ host, aService.pathPrefix });
  }
  if (aService.hosts.empty() && !aService.pathPrefix.empty()) {
    routes.push_back({ "", aService.pathPrefix });
  }
  std::ranges::copy(aService.routes, std::back_inserter(routes));
  for (RouteSpec& route : routes) {
    if (route.timeout == Millis::zero()) {
      route.timeout = aService.deadline;
    }
    if (route.attempts == 0) {
      route.attempts = aService.retry.attempts;
    }
    if (route.objective == Millis::zero()) {
      route.objective = aService.objective.latency;
    }
    if (route.parts.empty()) {
      route.parts.push_back({ aService.name, 1 });
    }
  }
  return routes;
}

bool
IsIdempotent(const RouteSpec& aRoute,
             const ServiceSpec& aService,
             std::string_view aMethod,
             std::string_view aTarget)
{
  switch (aRoute.kind) {
    case RouteKind::Idempotent:
    case RouteKind::Download:
      return true;
    case RouteKind::NonIdempotent:
      return false;
    case RouteKind::ByMethod:
      break;
  }
  return IsIdempotent(aService, aMethod, aTarget);
}

}
