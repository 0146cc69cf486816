#include "baobab/core/settings.hpp"

namespace baobab {
namespace {

using S = Settings;

constexpr IntegerRange kTimeout{ 10, 600000 };

template<class Access>
Field<S>
EndpointField(std::string aKey, Access aAccess, std::string aHelp)
{
  return Required(ParsedField<S>(
    std::move(aKey), "endpoint", aAccess, ParseEndpoint, std::move(aHelp)));
}

template<class Access>
Field<S>
TimeoutField(const std::string& aName, Access aAccess, std::string aHelp)
{
  return DurationField<S>(
    "timeouts." + aName, aAccess, kTimeout, "ms", std::move(aHelp));
}

Result<std::string>
ParseLogLevel(const std::string& aText)
{
  constexpr std::string_view kLevels[] = {
    "debug", "info", "warning", "error"
  };
  if (std::ranges::find(kLevels, aText) == std::end(kLevels)) {
    return Error{ ErrorKind::OutOfRange,
                  "",
                  "allowed: debug, info, warning, error" };
  }
  return aText;
}

template<class Access>
Field<S>
HeaderNameField(const std::string& aName, Access aAccess, std::string aHelp)
{
  return BasicField<S>("headers." + aName, aAccess, std::move(aHelp));
}

void
AddHeaders(std::vector<Field<S>>& aSchema)
{
  const auto add = [&](Field<S> aField) {
    aSchema.push_back(std::move(aField));
  };
  add(HeaderNameField(
    "request_id",
    [](S& s) -> auto& { return s.headers.requestId; },
    "Identity of a request, which targets repeat; empty: none."));
  add(HeaderNameField(
    "deadline",
    [](S& s) -> auto& { return s.headers.deadline; },
    "Time left in milliseconds, from callers and to targets."));
  add(HeaderNameField(
    "caller_service",
    [](S& s) -> auto& { return s.headers.callerService; },
    "To targets: service beside which the request began."));
  add(HeaderNameField(
    "target_instance",
    [](S& s) -> auto& { return s.headers.targetInstance; },
    "To targets: the instance that is meant."));
  add(HeaderNameField(
    "not_run",
    [](S& s) -> auto& { return s.headers.notRun; },
    "From targets: the request was shed without running it."));
  add(BasicField<S>(
    "headers.not_run_names_call",
    [](S& s) -> auto& { return s.headers.notRunRequiresCallId; },
    "`headers.not_run` is believed only with the call's identity."));
  add(BasicField<S>(
    "headers.statuses_promise",
    [](S& s) -> auto& { return s.headers.reserveNotRunStatuses; },
    "Callers take 408, 421, 429 and 503 for \"not run\"; such an answer of a "
    "target that ran the request becomes 502."));
  add(BasicField<S>(
    "headers.fractional_retry_after",
    [](S& s) -> auto& { return s.headers.fractionalRetryAfter; },
    "Callers accept fractions of a second in `Retry-After`."));
  add(HeaderNameField(
    "load",
    [](S& s) -> auto& { return s.headers.load; },
    "From targets: running, waiting, slots, slowness in percent."));
  add(HeaderNameField(
    "instance",
    [](S& s) -> auto& { return s.headers.instance; },
    "From targets: their instance."));
  add(HeaderNameField(
    "stamp",
    [](S& s) -> auto& { return s.headers.stamp; },
    "From targets: must be present on a success; empty: not required."));
}

std::vector<Field<S>>
BuildSchema()
{
  std::vector<Field<S>> schema = {
    EndpointField(
      "listen.callers",
      [](S& s) -> auto& { return s.callers; },
      "Address on which callers are answered."),
    EndpointField(
      "listen.peers",
      [](S& s) -> auto& { return s.peers; },
      "Address for other daemons, TCP and UDP."),
    ParsedField<S>(
      "listen.announced",
      "endpoint",
      [](S& s) -> auto& { return s.announced; },
      ParseEndpoint,
      "Address announced to other daemons, if it differs from "
      "`listen.peers`."),
    EndpointField(
      "listen.admin",
      [](S& s) -> auto& { return s.admin; },
      "Loopback address for announcements, health and metrics."),
    ParsedField<S>(
      "listen.readiness",
      "endpoint",
      [](S& s) -> auto& { return s.readiness; },
      ParseEndpoint,
      "Address that answers `/readyz` to others, besides `listen.admin`."),
    ParsedField<S>(
      "listen.metrics",
      "endpoint",
      [](S& s) -> auto& { return s.metrics; },
      ParseEndpoint,
      "Address that answers `/metrics` to others, besides `listen.admin`."),
    BasicField<S>(
      "service",
      [](S& s) -> auto& { return s.service; },
      "Service of the local target; empty: as it announces itself."),
    ParsedField<S>(
      "target",
      "endpoint",
      [](S& s) -> auto& { return s.target; },
      ParseEndpoint,
      "Address of the local target, the only one that may announce itself; "
      "unset: any."),
    Live(RealField<S>(
      "retry.ratio",
      [](S& s) -> auto& { return s.live.retries.ratio; },
      0,
      1,
      "retries per call",
      "Retries that a first attempt earns at most, whatever service files "
      "allow.")),
    Live(IntegerField<S>(
      "retry.fleet_burst",
      [](S& s) -> auto& { return s.live.retries.fleetBurst; },
      { 0, 1000000 },
      "retries",
      "Retries that the fleet may save up for a service at most; each daemon "
      "has its share.")),
    EndpointField(
      "store.address",
      [](S& s) -> auto& { return s.store; },
      "Address of the object store."),
    Required(BasicField<S>(
      "locality.region",
      [](S& s) -> auto& { return s.locality.region; },
      "Region of the host.")),
    Required(BasicField<S>(
      "locality.availability_zone",
      [](S& s) -> auto& { return s.locality.zone; },
      "Availability zone of the host.")),
    IntegerField<S>(
      "workers",
      [](S& s) -> auto& { return s.workers; },
      { 1, 64 },
      "threads",
      "Threads that serve callers."),
    IntegerField<S>(
      "target_connections",
      [](S& s) -> auto& { return s.targetConnections; },
      { 1, 10000 },
      "connections",
      "Open connections to the local target at most."),
    IntegerField<S>(
      "caller_connections",
      [](S& s) -> auto& { return s.callerConnections; },
      { 1, 1000000 },
      "connections",
      "Open caller connections at most."),
    IntegerField<S>(
      "header_bytes",
      [](S& s) -> auto& { return s.headerBytes; },
      { 1024, 1 << 20 },
      "bytes",
      "Largest request header."),
    EnumField<S, std::string>(
      "log.format",
      [](S& s) -> auto& { return s.logFormat; },
      { { "json", "json" }, { "text", "text" } },
      "Form of the log lines."),
    Live(ParsedField<S>(
      "log.level",
      "string",
      [](S& s) -> auto& { return s.logLevel; },
      ParseLogLevel,
      "Lowest level that is logged: debug, info (default), warning, error.")),
    Live(RealField<S>(
      "log.call_share",
      [](S& s) -> auto& { return s.live.logCallShare; },
      0,
      1,
      "fraction of calls",
      "Calls of which every step is logged; calls that do not end well are "
      "logged always.")),
    TimeoutField(
      "caller_header_ms",
      [](S& s) -> auto& { return s.timeouts.callerHeader; },
      "Time for a caller to send a whole header."),
    TimeoutField(
      "caller_body_ms",
      [](S& s) -> auto& { return s.timeouts.callerBody; },
      "Time for a caller to send a whole body, or to take an answer."),
    TimeoutField(
      "caller_idle_ms",
      [](S& s) -> auto& { return s.timeouts.callerIdle; },
      "Time that a caller connection may stay without a request."),
    TimeoutField(
      "connect_ms",
      [](S& s) -> auto& { return s.timeouts.connect; },
      "Time for a connection to open."),
    TimeoutField(
      "heartbeat_ms",
      [](S& s) -> auto& { return s.timeouts.heartbeat; },
      "Pause between heartbeats on a link with calls in flight."),
    TimeoutField(
      "silence_ms",
      [](S& s) -> auto& { return s.timeouts.silence; },
      "Silence after which a link counts as lost."),
    TimeoutField(
      "announcement_ms",
      [](S& s) -> auto& { return s.timeouts.announcement; },
      "Silence after which the local target has lapsed."),
    TimeoutField(
      "drain_ms",
      [](S& s) -> auto& { return s.timeouts.drain; },
      "Time that a shutdown waits for calls in flight."),
    TimeoutField(
      "leave_ms",
      [](S& s) -> auto& { return s.timeouts.leave; },
      "Time for which a shutdown still takes new requests."),
    IntegerField<S>(
      "control.bytes_per_second",
      [](S& s) -> auto& { return s.control.bytesPerSecond; },
      { 1024, 1 << 24 },
      "bytes/s",
      "Gossip, configuration and status traffic that this daemon sends."),
    IntegerField<S>(
      "control.readers_per_zone",
      [](S& s) -> auto& { return s.control.readersPerZone; },
      { 1, 16 },
      "daemons",
      "Daemons of an availability zone that watch the store."),
    DurationField<S>(
      "control.probe_ms",
      [](S& s) -> auto& { return s.control.probePeriod; },
      { 50, 60000 },
      "ms",
      "Period of membership probes."),
    DurationField<S>(
      "control.load_probe_ms",
      [](S& s) -> auto& { return s.control.loadProbeAge; },
      { 0, 60000 },
      "ms",
      "Age of the local target's load report from which its health path is "
      "asked while it has calls; 0: never."),
    DurationField<S>(
      "control.settling_ms",
      [](S& s) -> auto& { return s.control.settling; },
      { 0, 600000 },
      "ms",
      "Time for which a new daemon takes no share in fleet budgets."),
    Live(DurationField<S>(
      "placement.zone_ms_per_mb",
      [](S& s) -> auto& { return s.live.placement.zonePenaltyPerMegabyte; },
      { 0, 1000000 },
      "ms/MB",
      "Latency that is accepted to keep a megabyte in its availability zone.")),
    Live(DurationField<S>(
      "placement.region_ms_per_mb",
      [](S& s) -> auto& { return s.live.placement.regionPenaltyPerMegabyte; },
      { 0, 1000000 },
      "ms/MB",
      "Latency that is accepted to keep a megabyte in its region.")),
    DurationField<S>(
      "control.status_ms",
      [](S& s) -> auto& { return s.control.statusPeriod; },
      { 500, 600000 },
      "ms",
      "Period of reports to the availability zone's status."),
  };
  AddHeaders(schema);
  return schema;
}

}

const std::vector<Field<Settings>>&
SettingsSchema()
{
  static const std::vector<Field<Settings>> schema = BuildSchema();
  return schema;
}

Result<Settings>
ParseSettings(std::string_view aText, std::string_view aFile)
{
  auto parsed = ReadDocument(SettingsSchema(), aText, aFile);
  if (!Succeeded(parsed)) {
    return parsed;
  }
  const Timeouts& timeouts = Value(parsed).timeouts;
  if (timeouts.silence < 2 * timeouts.heartbeat) {
    return Error{ ErrorKind::OutOfRange,
                  std::string(aFile) +
                    ":1:1: 'timeouts.silence_ms' is below two heartbeats",
                  "raise it or lower 'timeouts.heartbeat_ms'" };
  }
  return parsed;
}

}
