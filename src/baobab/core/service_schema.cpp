#include "baobab/core/service.hpp"

#include <charconv>
#include <optional>

namespace baobab {
namespace {

using S = ServiceSpec;

/// Range of budgets and sizes in bytes.
constexpr IntegerRange kByteRange{ 0, 1LL << 30U };

std::vector<Field<S>>
BuildSchema()
{
  std::vector<Field<S>> schema;
  const auto add = [&](Field<S> aField) {
    schema.push_back(std::move(aField));
  };
  add(Required(BasicField<S>(
    "name", [](S& s) -> auto& { return s.name; }, "Name of the service.")));
  add(Required(IntegerField<S>(
    "revision",
    [](S& s) -> auto& { return s.revision; },
    { 1, 1LL << 52U },
    "",
    "Revision number of the file; increase it with each change.")));
  add(BasicField<S>(
    "retired",
    [](S& s) -> auto& { return s.retired; },
    "Withdraws the service; keep the file until the change has reached all "
    "availability zones."));
  add(BasicField<S>(
    "unrouted",
    [](S& s) -> auto& { return s.unrouted; },
    "Allows a file without routes, for a service that is reached through "
    "routes of other files."));
  add(BasicField<S>(
    "hosts",
    [](S& s) -> auto& { return s.hosts; },
    "Values of the Host header that are routed to the service."));
  add(BasicField<S>(
    "path_prefix",
    [](S& s) -> auto& { return s.pathPrefix; },
    "Path prefix of the service's requests."));
  add(BasicField<S>(
    "health_path",
    [](S& s) -> auto& { return s.healthPath; },
    "Path on which a target reports its health and load."));
  add(IntegerField<S>(
    "connections",
    [](S& s) -> auto& { return s.connections; },
    { 0, 10000 },
    "connections",
    "Maximum number of connections to a target; 0: `target_connections` of "
    "the settings."));
  add(IntegerField<S>(
    "callers.header_bytes",
    [](S& s) -> auto& { return s.callers.headerBytes; },
    { 1024, 1 << 20 },
    "bytes",
    "Maximum size of a request header, for all services; the lowest value of "
    "all files applies."));
  add(IntegerField<S>(
    "callers.body_bytes",
    [](S& s) -> auto& { return s.callers.bodyBytes; },
    kByteRange,
    "bytes",
    "Maximum size of a request body, for all services; the lowest value of "
    "all files applies."));
  add(DurationField<S>(
    "callers.header_ms",
    [](S& s) -> auto& { return s.callers.headerTime; },
    { 10, 600000 },
    "ms",
    "Time within which a caller must send a request header, for all services; "
    "the lowest value of all files applies."));
  add(DurationField<S>(
    "callers.idle_ms",
    [](S& s) -> auto& { return s.callers.idleTime; },
    { 10, 600000 },
    "ms",
    "Time for which a caller connection may be idle, for all services; the "
    "lowest value of all files applies."));
  add(DurationField<S>(
    "deadline_ms",
    [](S& s) -> auto& { return s.deadline; },
    { 1, 600000 },
    "ms",
    "Maximum time for which a caller waits for an answer."));
  add(EnumField<S, PolicyKind>(
    "policy",
    [](S& s) -> auto& { return s.policy; },
    { { "expected_finish", PolicyKind::ExpectedFinish },
      { "load_aware", PolicyKind::LoadAware },
      { "random", PolicyKind::Random },
      { "round_robin", PolicyKind::RoundRobin },
      { "least_known", PolicyKind::LeastKnown } },
    "Load-balancing policy by which a target is chosen."));
  add(DurationField<S>(
    "ramp_ms",
    [](S& s) -> auto& { return s.ramp; },
    { 0, 600000 },
    "ms",
    "Time in which a target that became ready reaches its full share."));
  add(DurationField<S>(
    "warmup.time_ms",
    [](S& s) -> auto& { return s.warmup.time; },
    { 0, 600000 },
    "ms",
    "Time for which a target is cold after its start."));
  add(RealField<S>(
    "warmup.rate_per_s",
    [](S& s) -> auto& { return s.warmup.ratePerSecond; },
    0,
    1000000,
    "calls/s",
    "Calls that a cold target takes from all daemons together; 0: no limit."));
  add(BasicField<S>(
    "idempotent_paths",
    [](S& s) -> auto& { return s.idempotentPaths; },
    "Path prefixes whose calls are idempotent, whatever their method."));
  add(BasicField<S>(
    "non_idempotent_paths",
    [](S& s) -> auto& { return s.nonIdempotentPaths; },
    "Path prefixes whose calls are not idempotent, whatever their method."));
  add(BasicField<S>(
    "claims.paths",
    [](S& s) -> auto& { return s.claimPaths; },
    "Path prefixes whose calls with an Idempotency-Key run at most once."));
  add(EnumField<S, ClaimFallback>(
    "claims.store_away",
    [](S& s) -> auto& { return s.claimFallback; },
    { { "refuse", ClaimFallback::Refuse }, { "run", ClaimFallback::Run } },
    "Whether such a call is refused or run while the store is unavailable."));
  add(IntegerField<S>(
    "limits.body_bytes",
    [](S& s) -> auto& { return s.limits.bodyBytes; },
    { 0, 64LL << 20U },
    "bytes",
    "Maximum size of a request body."));
  add(IntegerField<S>(
    "limits.answer_bytes",
    [](S& s) -> auto& { return s.limits.answerBytes; },
    { 0, 64LL << 20U },
    "bytes",
    "Maximum size of an answer's body."));
  add(IntegerField<S>(
    "limits.queue_length",
    [](S& s) -> auto& { return s.limits.queueLength; },
    { 0, 4096 },
    "calls",
    "Maximum number of calls in the queue of a target."));
  add(DurationField<S>(
    "limits.queue_ms",
    [](S& s) -> auto& { return s.limits.queueTime; },
    { 0, 60000 },
    "ms",
    "Maximum time of a call in the queue of a target."));
  add(RealField<S>(
    "retry.ratio",
    [](S& s) -> auto& { return s.retry.ratio; },
    0,
    1,
    "retries per call",
    "Retries that each first attempt adds to the retry budget."));
  add(IntegerField<S>(
    "retry.burst",
    [](S& s) -> auto& { return s.retry.burst; },
    { 0, 10000 },
    "retries",
    "Maximum retry budget of a daemon."));
  add(IntegerField<S>(
    "retry.attempts",
    [](S& s) -> auto& { return s.retry.attempts; },
    { 1, 10 },
    "attempts",
    "Maximum number of attempts of a call."));
  add(BasicField<S>(
    "hedge.enabled",
    [](S& s) -> auto& { return s.hedge.enabled; },
    "Starts a second attempt of an idempotent call that is slow."));
  add(RealField<S>(
    "hedge.quantile",
    [](S& s) -> auto& { return s.hedge.quantile; },
    0.5,
    0.999,
    "quantile",
    "Latency quantile after which the second attempt starts."));
  add(IntegerField<S>(
    "measuring.bytes_per_second",
    [](S& s) -> auto& { return s.measuring.bytesPerSecond; },
    kByteRange,
    "bytes/s",
    "Budget for load reports and probes, for the whole fleet."));
  add(IntegerField<S>(
    "measuring.cross_region_bytes_per_second",
    [](S& s) -> auto& { return s.measuring.crossRegionBytesPerSecond; },
    kByteRange,
    "bytes/s",
    "Part of `measuring.bytes_per_second` that may be used between regions; "
    "0: none."));
  add(BasicField<S>(
    "spill.cross_region",
    [](S& s) -> auto& { return s.spill.crossRegion; },
    "Sends calls to another region while their own region has no capacity "
    "left."));
  add(IntegerField<S>(
    "spill.bytes_per_second",
    [](S& s) -> auto& { return s.spill.bytesPerSecond; },
    kByteRange,
    "bytes/s",
    "Budget for calls sent to another region, for the whole fleet."));
  add(RealField<S>(
    "objective.availability",
    [](S& s) -> auto& { return s.objective.availability; },
    0.5,
    0.99999,
    "fraction",
    "Fraction of calls that must succeed."));
  add(DurationField<S>(
    "objective.latency_ms",
    [](S& s) -> auto& { return s.objective.latency; },
    { 1, 600000 },
    "ms",
    "Latency objective of a call."));
  add(RealField<S>(
    "objective.latency_quantile",
    [](S& s) -> auto& { return s.objective.latencyQuantile; },
    0.5,
    0.9999,
    "quantile",
    "Fraction of calls that must meet `objective.latency_ms`."));
  add(IntegerField<S>(
    "objective.window_days",
    [](S& s) -> auto& { return s.objective.windowDays; },
    { 1, 90 },
    "days",
    "Period over which the objective is evaluated."));
  add(RealField<S>(
    "quarantine.threshold",
    [](S& s) -> auto& { return s.quarantine.threshold; },
    1,
    100,
    "crashes",
    "Weighted number of crashes from which on a request is refused."));
  add(DurationField<S>(
    "quarantine.lifetime_s",
    [](S& s) -> auto& { return s.quarantine.lifetime; },
    { 1, 86400 },
    "s",
    "Time after which a suspicion expires."));
  return schema;
}

/// Parses `service:weight`; returns nothing if the text is not valid.
std::optional<WeightedService>
ParseWeightedService(std::string_view aText)
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
  return WeightedService{ std::string(aText.substr(0, colon)), weight };
}

Field<RouteSpec>
SplitField()
{
  return { { "split",
             "list of strings",
             "",
             "[]",
             "",
             "Services that share the calls, each as `service:weight`." },
           false,
           [](RouteSpec& aRoute, const TomlValue& aValue) {
             const auto* list = std::get_if<std::vector<std::string>>(&aValue);
             std::optional<Error> error;
             if (list == nullptr) {
               return std::optional(
                 schema_detail::WrongTypeError("a list of 'service:weight'"));
             }
             for (const std::string& text : *list) {
               auto service = ParseWeightedService(text);
               if (!service) {
                 return std::optional(schema_detail::WrongTypeError(
                   "each item as 'service:weight'"));
               }
               aRoute.split.push_back(std::move(*service));
             }
             return error;
           } };
}

std::vector<Field<RouteSpec>>
BuildRouteSchema()
{
  using R = RouteSpec;
  return {
    BasicField<R>(
      "host",
      [](R& r) -> auto& { return r.host; },
      "Value of the Host header, without port; any if omitted."),
    Required(BasicField<R>(
      "path_prefix",
      [](R& r) -> auto& { return r.pathPrefix; },
      "Path prefix; of several that match, the longest applies.")),
    EnumField<R, RouteKind>(
      "kind",
      [](R& r) -> auto& { return r.kind; },
      { { "by_method", RouteKind::ByMethod },
        { "idempotent", RouteKind::Idempotent },
        { "non_idempotent", RouteKind::NonIdempotent },
        { "download", RouteKind::Download } },
      "Whether the calls are idempotent."),
    DurationField<R>(
      "timeout_ms",
      [](R& r) -> auto& { return r.timeout; },
      { 0, 600000 },
      "ms",
      "Maximum time for which a caller waits for an answer; 0: "
      "`deadline_ms`."),
    IntegerField<R>(
      "attempts",
      [](R& r) -> auto& { return r.attempts; },
      { 0, 10 },
      "targets",
      "Maximum number of targets that a call is sent to; 0: "
      "`retry.attempts`."),
    IntegerField<R>(
      "priority",
      [](R& r) -> auto& { return r.priority; },
      { 0, 100 },
      "",
      "Priority of queued calls; 0 is the highest."),
    DurationField<R>(
      "objective_ms",
      [](R& r) -> auto& { return r.objective; },
      { 0, 600000 },
      "ms",
      "Latency objective of a call; 0: `objective.latency_ms`."),
    BasicField<R>(
      "anonymous",
      [](R& r) -> auto& { return r.anonymous; },
      "Calls need no key of a workspace."),
    BasicField<R>(
      "regions",
      [](R& r) -> auto& { return r.regions; },
      "Regions in which calls may be served; empty: all."),
    SplitField(),
  };
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

}
