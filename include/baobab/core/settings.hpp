/// @file
/// Settings of a daemon, read from its TOML file.
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/locality.hpp"
#include "baobab/core/schema.hpp"
#include "baobab/core/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

struct Timeouts
{
  /// Time for a caller to send a complete request header.
  Millis callerHeader{ 5000 };
  /// Time for a caller to send a complete body or to receive an answer.
  Millis callerBody{ 10000 };
  /// Time for which a caller's connection may be idle.
  Millis callerIdle{ 60000 };
  Millis connect{ 500 };
  /// Interval between heartbeats on a link with calls in flight.
  Millis heartbeat{ 250 };
  /// Time without a reply after which a link is considered lost.
  Millis silence{ 1000 };
  /// Time after the last announcement at which the local target's state
  /// expires.
  Millis announcement{ 3500 };
  /// Time that a shutdown waits for calls in flight.
  Millis drain{ 30000 };
  /// Time for which a daemon that shuts down still accepts requests, until
  /// callers and other daemons know about it.
  Millis leave{ 300 };
  /// Time in seconds after SIGTERM at which the supervisor kills the process;
  /// 0 if it is not known.
  double graceSeconds = 0;
};

/// Times of a shutdown, counted from SIGTERM.
struct ShutdownTimes
{
  /// Until then new requests are accepted.
  Duration leave = Duration::zero();
  /// Until then calls in flight may end.
  Duration drain = Duration::zero();
};

/// Returns the times of a shutdown. It ends some time before the process would
/// be killed.
ShutdownTimes ShutdownTimesOf(const Timeouts& aTimeouts);

/// Limits and periods of the control traffic.
struct ControlBudget
{
  /// Gossip, configuration and status traffic, in bytes per second.
  std::int64_t bytesPerSecond = 16384;
  /// Daemons of an availability zone that watch the store.
  std::int64_t readersPerZone = 2;
  /// Interval between membership probes.
  Millis probePeriod{ 1000 };
  /// Interval between reports to the status of the availability zone.
  Millis statusPeriod{ 10000 };
  /// Age of the local target's load report from which on its health path is
  /// queried; 0: never.
  Millis loadProbeAge{ 0 };
  /// Shortest time between questions to the local target whether it is cold,
  /// which it gets while calls arrive and its service limits the calls to a
  /// cold target; 0: it is not asked.
  Millis warmthProbePeriod{ 0 };
  /// Time during which a new daemon has no share of the fleet's budgets.
  Millis settling{ 30000 };
};

/// Names of the headers that callers, targets and daemons exchange.
struct HeaderNames
{
  /// From callers, to targets and back: ID of the request. If set, targets
  /// must return it in their answers.
  std::string requestId;
  /// From callers and to targets: remaining time, in milliseconds.
  std::string deadline = "Baobab-Deadline-Ms";
  /// To targets: service on whose host the request originated.
  std::string callerService = "Baobab-Caller-Service";
  /// To targets: instance that the request is meant for.
  std::string targetInstance = "Baobab-Target-Instance";
  /// From targets: the request was rejected without running it.
  std::string notRun = "Baobab-Not-Run";
  /// True if `notRun` is accepted only if it contains the call's ID.
  bool notRunRequiresCallId = true;
  /// From targets: running calls, waiting calls, slots, slowness in percent.
  std::string load = "Baobab-Load";
  /// From targets: their instance.
  std::string instance = "Baobab-Instance";
  /// From targets, in each answer while it holds: requests a second that the
  /// target takes from all daemons together.
  std::string requestLimit = "Baobab-Limit";
  /// From targets, in each answer while they are leaving: 1.
  std::string leaving = "Baobab-Leaving";
  /// To targets: name of the workspace that the call belongs to.
  std::string workspace = "Baobab-Workspace";
  /// From targets, on their health path: time in milliseconds for which they
  /// stay cold.
  std::string warmup = "Baobab-Warmup-Ms";
  /// True if the statuses 408, 421, 429 and 503 tell callers that the request
  /// was not run. A target's own answer with such a status is then not passed
  /// on.
  bool reserveNotRunStatuses = false;
  /// True if callers accept fractions of a second in `Retry-After`.
  bool fractionalRetryAfter = false;
  /// From targets: required in each success answer, unless empty.
  std::string stamp;
};

/// Latency penalties for sending a call away from its location.
struct PlacementSpec
{
  /// Penalty for a megabyte that leaves its availability zone.
  Millis zonePenaltyPerMegabyte{ 0 };
  /// Penalty for a megabyte that leaves its region.
  Millis regionPenaltyPerMegabyte{ 0 };
  /// Factor by which the expected time of a call may be exceeded without
  /// missing its objective. A call stays in its availability zone while it has
  /// that much time there; 0: calls go wherever they are expected to finish
  /// first.
  double objectiveMargin = 0;
};

/// Upper limits on the retries that service files allow.
struct RetryCaps
{
  /// Retries that each first attempt adds to the retry budget.
  double ratio = 1;
  /// Retry budget of a service for the whole fleet, in retries.
  std::int64_t fleetBurst = 1000000;
};

/// Settings that can change without a restart.
struct LiveSettings
{
  RetryCaps retries;
  PlacementSpec placement;
  /// Fraction of calls of which every step is logged, whatever their outcome.
  double logCallShare = 0.01;
};

struct EvacuationSettings
{
  /// Time after the publication of an evacuation from which on nothing more is
  /// sent to targets of the zone; 0: evacuations are not read.
  Millis time{ 0 };
};

struct WorkspaceSettings
{
  /// Time after the publication of a configuration from which on no daemon
  /// accepts a key that it has withdrawn, even if the daemon cannot learn of
  /// it: calls with keys are refused while the configuration is not known to be
  /// newer than that. 0: calls are served with the configuration in force.
  Millis revocationTime{ 0 };
};

struct Settings
{
  /// Address on which calls are accepted.
  Endpoint callers;
  /// Address on which other daemons are served, over TCP and UDP.
  Endpoint peers;
  /// Address that serves `/readyz`; unset: only `admin`.
  std::optional<Endpoint> readiness;
  /// Address that serves `/metrics`; unset: only `admin`.
  std::optional<Endpoint> metrics;
  /// Service of the local target, sent as `headers.callerService`; empty: as
  /// announced by the target.
  std::string service;
  /// Address of the local target, at which it is found before it announces
  /// itself; announcements of other addresses are rejected. Unset: any.
  std::optional<Endpoint> target;
  HeaderNames headers;
  LiveSettings live;
  /// Address announced to other daemons; unset: `peers`.
  std::optional<Endpoint> announced;
  /// Loopback address for announcements, health checks and metrics.
  Endpoint admin;
  /// Address of the object store.
  Endpoint store;
  Locality locality;
  /// Threads that serve callers.
  std::int64_t workers = 2;
  /// Maximum number of connections to the local target.
  std::int64_t targetConnections = 250;
  /// Maximum number of caller connections.
  std::int64_t callerConnections = 10000;
  /// Maximum size of a request header.
  std::int64_t headerBytes = 16384;
  /// Rate of the host's network link in Mbit/s; 0: not known.
  double linkMbps = 0;
  /// Memory in MB that the process may use; 0: as the system says.
  double memoryLimitMb = 0;
  std::string logFormat = "json";
  std::string logLevel = "info";
  Timeouts timeouts;
  ControlBudget control;
  WorkspaceSettings workspaces;
  EvacuationSettings evacuation;

  /// Returns the address that identifies this daemon to the others.
  Endpoint Identity() const { return this->announced.value_or(this->peers); }
};

/// Returns the schema of a settings file.
const std::vector<Field<Settings>>& SettingsSchema();

/// Parses and validates a settings file.
/// @param aFile file name for error messages
Result<Settings> ParseSettings(std::string_view aText, std::string_view aFile);

}
