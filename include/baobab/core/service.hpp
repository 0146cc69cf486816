/// @file
/// Services as declared in service files.
#pragma once

#include "baobab/core/schema.hpp"
#include "baobab/core/time.hpp"
#include "baobab/core/workspace.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// Load-balancing policy by which a target is chosen.
enum class PolicyKind : std::uint8_t
{
  ExpectedFinish,
  LoadAware,
  Random,
  RoundRobin,
  LeastKnown,
};

/// Handling of a call with an idempotency key while the store is unavailable.
enum class ClaimFallback : std::uint8_t
{
  Refuse,
  Run,
};

/// Whether the calls of a route are idempotent.
enum class RouteKind : std::uint8_t
{
  /// Decided by the HTTP method and the service's path lists.
  ByMethod,
  Idempotent,
  NonIdempotent,
  /// Idempotent, with large answers.
  Download,
};

/// A service that receives a share of a route's calls.
struct WeightedService
{
  std::string service;
  /// Share of the calls, relative to the other weights of the route.
  std::int64_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// A route: the calls of one Host value and path prefix.
struct RouteSpec
{
  /// Host header without port; empty: any host.
  std::string host;
  std::string pathPrefix;
  RouteKind kind = RouteKind::ByMethod;
  /// Maximum time for which a caller waits for its answer; 0: the service's
  /// `deadline`.
  Millis timeout{ 0 };
  /// Maximum number of targets that a call is sent to; 0: the service's
  /// `retry.attempts`.
  std::int64_t attempts = 0;
  /// Priority of queued calls; 0 is the highest.
  std::int64_t priority = 0;
  /// Latency objective of a call; 0: the service's.
  Millis objective{ 0 };
  /// Services that share the calls; empty: the service of the file.
  std::vector<WeightedService> split;
  /// True if calls need no key of a workspace.
  bool anonymous = false;
  /// Regions in which calls may be served; empty: all.
  std::vector<std::string> regions;

  bool operator==(const RouteSpec&) const = default;
};

/// Limits on callers, for all services: the lowest value of all service files
/// applies.
struct CallerLimits
{
  /// Maximum size of a request header.
  std::int64_t headerBytes = 1 << 20;
  /// Maximum size of a request body.
  std::int64_t bodyBytes = 1LL << 30U;
  /// Time within which a caller must send a request header.
  Millis headerTime{ 600000 };
  /// Time for which a caller's connection may be idle.
  Millis idleTime{ 600000 };

  bool operator==(const CallerLimits&) const = default;
};

/// Limit on calls to a target that is cold, because it has just started or has
/// lost its caches.
struct WarmupSpec
{
  /// Time for which a target is cold after its start.
  Millis time{ 0 };
  /// Calls per second that a cold target takes; 0: no limit.
  double ratePerSecond = 0;
};

struct ServiceLimits
{
  /// Maximum size of a request body.
  std::int64_t bodyBytes = 1 << 20;
  /// Maximum size of an answer's body.
  std::int64_t answerBytes = 16 << 20;
  /// Maximum number of calls in the queue of a target.
  std::int64_t queueLength = 64;
  /// Maximum time of a call in the queue of a target.
  Millis queueTime{ 2000 };
};

struct RetrySpec
{
  /// Retries that each first attempt adds to the retry budget.
  double ratio = 0.1;
  /// Size of a daemon's retry budget, in retries.
  std::int64_t burst = 10;
  /// Maximum number of attempts of a call.
  std::int64_t attempts = 3;
};

/// Hedged requests: a second attempt of an idempotent call that is slow.
struct HedgeSpec
{
  bool enabled = false;
  /// Latency quantile after which a second attempt starts.
  double quantile = 0.95;
};

/// Traffic budget for measuring the load of targets.
struct MeasuringSpec
{
  /// Load reports and probes of the whole fleet, in bytes per second.
  std::int64_t bytesPerSecond = 65536;
  /// The part of them that may cross regions.
  std::int64_t crossRegionBytesPerSecond = 16384;
};

/// Spillover: calls that are sent to another region because their own region
/// has no capacity left.
struct SpillSpec
{
  bool crossRegion = true;
  /// Spilled calls of the whole fleet, in bytes per second.
  std::int64_t bytesPerSecond = 2 << 20;
};

/// Service-level objective.
struct ObjectiveSpec
{
  /// Fraction of calls that must succeed.
  double availability = 0.999;
  Millis latency{ 250 };
  /// Fraction of calls that must be answered within `latency`.
  double latencyQuantile = 0.99;
  std::int64_t windowDays = 28;
};

struct QuarantineSpec
{
  /// Weighted number of crashes from which on requests with a fingerprint are
  /// refused.
  double threshold = 2.0;
  /// Time after which a suspicion expires.
  Seconds lifetime{ 600 };
};

/// A service as declared in its service file.
struct ServiceSpec
{
  std::string name;
  /// Increases with each change of the file.
  std::int64_t revision = 0;
  /// True if the service is withdrawn; its entry remains as a tombstone.
  bool retired = false;
  /// True if the service is reachable only through routes of other files.
  bool unrouted = false;
  std::vector<std::string> hosts;
  std::string pathPrefix;
  std::vector<RouteSpec> routes;
  /// Path on which a target reports its health and load; empty: none.
  std::string healthPath;
  /// Maximum number of connections to a target; 0: from the daemon's settings.
  std::int64_t connections = 0;
  CallerLimits callers;
  /// Maximum time for which a caller waits for its answer.
  Millis deadline{ 2000 };
  PolicyKind policy = PolicyKind::ExpectedFinish;
  /// Path prefixes whose calls are idempotent, whatever their method.
  std::vector<std::string> idempotentPaths;
  /// Path prefixes whose calls are not idempotent, whatever their method.
  std::vector<std::string> nonIdempotentPaths;
  /// Path prefixes whose calls with an idempotency key run at most once.
  std::vector<std::string> claimPaths;
  ClaimFallback claimFallback = ClaimFallback::Refuse;
  ServiceLimits limits;
  RetrySpec retry;
  HedgeSpec hedge;
  MeasuringSpec measuring;
  SpillSpec spill;
  ObjectiveSpec objective;
  QuarantineSpec quarantine;
  WarmupSpec warmup;
  /// Workspaces, of which one file may declare those for all services.
  std::vector<WorkspaceSpec> workspaces;
  /// Time in which a target that became ready reaches its full share of calls.
  Millis ramp{ 10000 };
};

/// Returns the schema of a service file.
const std::vector<Field<ServiceSpec>>& ServiceSchema();

/// Parses and validates a service file.
/// @param aFile file name for error messages
Result<ServiceSpec> ParseService(std::string_view aText,
                                 std::string_view aFile);

/// Returns true if a request is idempotent: by its HTTP method, unless a path
/// list of the service file contains its path.
/// @param aTarget path and query
bool IsIdempotent(const ServiceSpec& aService,
                  std::string_view aMethod,
                  std::string_view aTarget);

/// Returns the schema of an entry of `routes` in a service file.
const std::vector<Field<RouteSpec>>& RouteSchema();

/// Returns the routes that a service file declares: those of `hosts` and
/// `path_prefix`, then those of `routes`, with all defaults filled in.
std::vector<RouteSpec> RoutesOf(const ServiceSpec& aService);

/// Returns true if a request on a route is idempotent: by the route's kind, or
/// else as above.
/// @param aTarget path and query
bool IsIdempotent(const RouteSpec& aRoute,
                  const ServiceSpec& aService,
                  std::string_view aMethod,
                  std::string_view aTarget);

}
