#include "baobab/core/settings.hpp"

#include <algorithm>

namespace baobab {
namespace {

using S = Settings;

/// Range of the timeouts, in milliseconds.
constexpr IntegerRange kTimeoutRange{ 10, 600000 };

/// A required address and port.
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
    "timeouts." + aName, aAccess, kTimeoutRange, "ms", std::move(aHelp));
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
AddHeaderFields(std::vector<Field<S>>& aSchema)
{
  const auto add = [&](Field<S> aField) {
    aSchema.push_back(std::move(aField));
  };
  add(HeaderNameField(
    "request_id",
    [](S& s) -> auto& { return s.headers.requestId; },
    "From callers, to targets and back: ID of the request, which targets must "
    "return; empty: none."));
  add(HeaderNameField(
    "deadline",
    [](S& s) -> auto& { return s.headers.deadline; },
    "From callers and to targets: remaining time in milliseconds."));
  add(HeaderNameField(
    "caller_service",
    [](S& s) -> auto& { return s.headers.callerService; },
    "To targets: service on whose host the request originated."));
  add(HeaderNameField(
    "target_instance",
    [](S& s) -> auto& { return s.headers.targetInstance; },
    "To targets: the instance that the request is meant for."));
  add(HeaderNameField(
    "not_run",
    [](S& s) -> auto& { return s.headers.notRun; },
    "From targets: the request was rejected without running it."));
  add(BasicField<S>(
    "headers.not_run_names_call",
    [](S& s) -> auto& { return s.headers.notRunRequiresCallId; },
    "Accepts `headers.not_run` only if it contains the call's ID."));
  add(BasicField<S>(
    "headers.statuses_promise",
    [](S& s) -> auto& { return s.headers.reserveNotRunStatuses; },
    "The statuses 408, 421, 429 and 503 tell callers that the request was not "
    "run; such an answer of a target that ran the request is replaced by "
    "502."));
  add(BasicField<S>(
    "headers.fractional_retry_after",
    [](S& s) -> auto& { return s.headers.fractionalRetryAfter; },
    "Callers accept fractions of a second in `Retry-After`."));
  add(HeaderNameField(
    "load",
    [](S& s) -> auto& { return s.headers.load; },
    "From targets: running calls, waiting calls, slots, slowness in percent."));
  add(HeaderNameField(
    "instance",
    [](S& s) -> auto& { return s.headers.instance; },
    "From targets: their instance."));
  add(HeaderNameField(
    "limit",
    [](S& s) -> auto& { return s.headers.requestLimit; },
    "From targets, in each answer while it holds: requests a second that the "
    "target takes from all daemons together."));
  add(HeaderNameField(
    "leaving",
    [](S& s) -> auto& { return s.headers.leaving; },
    "From targets: `1` in each answer while they are leaving."));
  add(HeaderNameField(
    "workspace",
    [](S& s) -> auto& { return s.headers.workspace; },
    "To targets: name of the workspace that the call belongs to."));
  add(HeaderNameField(
    "warmup",
    [](S& s) -> auto& { return s.headers.warmup; },
    "From targets, on their health path: time in milliseconds for which they "
    "stay cold."));
  add(HeaderNameField(
    "stamp",
    [](S& s) -> auto& { return s.headers.stamp; },
    "From targets: required in each success answer; empty: not required."));
}

std::vector<Field<S>>
BuildSchema()
{
  std::vector<Field<S>> schema = {
    EndpointField(
      "listen.callers",
      [](S& s) -> auto& { return s.callers; },
      "Address on which calls are accepted."),
    EndpointField(
      "listen.peers",
      [](S& s) -> auto& { return s.peers; },
      "Address for other daemons, over TCP and UDP."),
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
      "Loopback address for announcements, health checks and metrics."),
    ParsedField<S>(
      "listen.readiness",
      "endpoint",
      [](S& s) -> auto& { return s.readiness; },
      ParseEndpoint,
      "Address that serves `/readyz` to other hosts, besides "
      "`listen.admin`."),
    ParsedField<S>(
      "listen.metrics",
      "endpoint",
      [](S& s) -> auto& { return s.metrics; },
      ParseEndpoint,
      "Address that serves `/metrics` to other hosts, besides "
      "`listen.admin`."),
    BasicField<S>(
      "service",
      [](S& s) -> auto& { return s.service; },
      "Service of the local target; empty: as announced by the target."),
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
      "Upper limit on the retries that each first attempt adds to the retry "
      "budget, whatever service files allow.")),
    Live(IntegerField<S>(
      "retry.fleet_burst",
      [](S& s) -> auto& { return s.live.retries.fleetBurst; },
      { 0, 1000000 },
      "retries",
      "Upper limit on a service's retry budget for the whole fleet, divided "
      "among the daemons.")),
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
      "Maximum number of connections to the local target."),
    IntegerField<S>(
      "caller_connections",
      [](S& s) -> auto& { return s.callerConnections; },
      { 1, 1000000 },
      "connections",
      "Maximum number of caller connections; fewer if the process may open too "
      "few files."),
    IntegerField<S>(
      "header_bytes",
      [](S& s) -> auto& { return s.headerBytes; },
      { 1024, 1 << 20 },
      "bytes",
      "Maximum size of a request header."),
    RealField<S>(
      "link_mbps",
      [](S& s) -> auto& { return s.linkMbps; },
      0,
      1000000,
      "Mbit/s",
      "Rate of the host's network link. Calls with large answers wait while "
      "the "
      "link is full; 0: not known."),
    RealField<S>(
      "memory.limit_mb",
      [](S& s) -> auto& { return s.memoryLimitMb; },
      0,
      1000000,
      "MB",
      "Memory that the process may use. Large requests and answers that don't "
      "fit into it together are refused; 0: the smallest of the limits of the "
      "process and its control group, and half of the host's memory."),
    EnumField<S, std::string>(
      "log.format",
      [](S& s) -> auto& { return s.logFormat; },
      { { "json", "json" }, { "text", "text" } },
      "Format of the log lines."),
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
      "Fraction of calls of which every step is logged; calls that are not "
      "good are always logged.")),
    TimeoutField(
      "caller_header_ms",
      [](S& s) -> auto& { return s.timeouts.callerHeader; },
      "Time for a caller to send a complete request header."),
    TimeoutField(
      "caller_body_ms",
      [](S& s) -> auto& { return s.timeouts.callerBody; },
      "Time for a caller to send a complete body, or to receive an answer."),
    TimeoutField(
      "caller_idle_ms",
      [](S& s) -> auto& { return s.timeouts.callerIdle; },
      "Time for which a caller connection may be idle."),
    TimeoutField(
      "connect_ms",
      [](S& s) -> auto& { return s.timeouts.connect; },
      "Time for opening a connection."),
    TimeoutField(
      "heartbeat_ms",
      [](S& s) -> auto& { return s.timeouts.heartbeat; },
      "Interval between heartbeats on a link with calls in flight."),
    TimeoutField(
      "silence_ms",
      [](S& s) -> auto& { return s.timeouts.silence; },
      "Time without a reply after which a link is considered lost."),
    TimeoutField(
      "announcement_ms",
      [](S& s) -> auto& { return s.timeouts.announcement; },
      "Time without an announcement after which the local target is considered "
      "gone."),
    TimeoutField(
      "drain_ms",
      [](S& s) -> auto& { return s.timeouts.drain; },
      "Time that a shutdown waits for calls in flight."),
    TimeoutField(
      "leave_ms",
      [](S& s) -> auto& { return s.timeouts.leave; },
      "Time for which a daemon that shuts down still accepts requests."),
    RealField<S>(
      "timeouts.grace_s",
      [](S& s) -> auto& { return s.timeouts.graceSeconds; },
      0,
      3600,
      "s",
      "Time after SIGTERM at which the supervisor kills the process, so that a "
      "shutdown ends before it whatever `timeouts.drain_ms`; 0: not known."),
    IntegerField<S>(
      "control.bytes_per_second",
      [](S& s) -> auto& { return s.control.bytesPerSecond; },
      { 1024, 1 << 24 },
      "bytes/s",
      "Budget for the gossip, configuration and status traffic that this "
      "daemon sends."),
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
      "Interval between membership probes."),
    DurationField<S>(
      "control.load_probe_ms",
      [](S& s) -> auto& { return s.control.loadProbeAge; },
      { 0, 60000 },
      "ms",
      "Age of the local target's load report from which on its health path is "
      "queried while it has calls; 0: never."),
    DurationField<S>(
      "control.warmth_probe_ms",
      [](S& s) -> auto& { return s.control.warmthProbePeriod; },
      { 0, 60000 },
      "ms",
      "Shortest time between questions to the local target's health path "
      "whether it is cold, while it has calls and its service file sets "
      "`warmup.rate_per_s`; 0: it is not asked."),
    DurationField<S>(
      "control.settling_ms",
      [](S& s) -> auto& { return s.control.settling; },
      { 0, 600000 },
      "ms",
      "Time during which a new daemon has no share of the fleet's budgets."),
    Live(DurationField<S>(
      "placement.zone_ms_per_mb",
      [](S& s) -> auto& { return s.live.placement.zonePenaltyPerMegabyte; },
      { 0, 1000000 },
      "ms/MB",
      "Extra latency accepted to keep a megabyte in its availability zone.")),
    Live(DurationField<S>(
      "placement.region_ms_per_mb",
      [](S& s) -> auto& { return s.live.placement.regionPenaltyPerMegabyte; },
      { 0, 1000000 },
      "ms/MB",
      "Extra latency accepted to keep a megabyte in its region.")),
    Live(RealField<S>(
      "placement.objective_margin",
      [](S& s) -> auto& { return s.live.placement.objectiveMargin; },
      0,
      10,
      "factor",
      "Calls stay in their availability zone while their expected time there, "
      "times this factor, meets their latency objective; below 1: they go "
      "wherever "
      "they are expected to finish first, with the extra latencies above.")),
    DurationField<S>(
      "workspaces.revocation_ms",
      [](S& s) -> auto& { return s.workspaces.revocationTime; },
      { 0, 600000 },
      "ms",
      "Time after the publication of a configuration from which on no daemon "
      "accepts a key that it has withdrawn; calls with keys are refused while "
      "the configuration is not known to be newer than that. 0: never "
      "refused."),
    DurationField<S>(
      "evacuation.time_ms",
      [](S& s) -> auto& { return s.evacuation.time; },
      { 0, 600000 },
      "ms",
      "Time after the publication of an evacuation in which daemons learn of "
      "it; 0: evacuations are not read."),
    DurationField<S>(
      "control.status_ms",
      [](S& s) -> auto& { return s.control.statusPeriod; },
      { 500, 600000 },
      "ms",
      "Interval between reports to the status of the availability zone."),
  };
  AddHeaderFields(schema);
  return schema;
}

}

ShutdownTimes
ShutdownTimesOf(const Timeouts& aTimeouts)
{
  // The rest is for the last answers to be sent and for the exit.
  constexpr double kDrainFraction = 0.87;
  ShutdownTimes times{ aTimeouts.leave, aTimeouts.drain };
  if (aTimeouts.graceSeconds > 0) {
    const std::chrono::duration<double> grace(aTimeouts.graceSeconds);
    times.drain =
      std::min(times.drain,
               std::chrono::duration_cast<Duration>(grace * kDrainFraction));
  }
  times.leave = std::min(times.leave, times.drain / 2);
  return times;
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
                    ":1:1: 'timeouts.silence_ms' is less than twice "
                    "'timeouts.heartbeat_ms'",
                  "increase it or decrease 'timeouts.heartbeat_ms'" };
  }
  return parsed;
}

}
