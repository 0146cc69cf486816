/// @file
/// What a service file says about a service.
#pragma once

#include "baobab/core/schema.hpp"
#include "baobab/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// How a target is chosen.
enum class PolicyKind : std::uint8_t
{
  ExpectedFinish,
  LoadAware,
  Random,
  RoundRobin,
  LeastKnown,
};

/// What happens to a call with an idempotency key while the store is away.
enum class ClaimFallback : std::uint8_t
{
  Refuse,
  Run,
};

/// Whether the calls of a route may be repeated.
enum class RouteKind : std::uint8_t
{
  /// By HTTP method and the service's path lists.
  ByMethod,
  Idempotent,
  NonIdempotent,
  /// Idempotent, with large answers.
  Download,
};

/// A service's part of a route's calls.
struct WeightedService
{
  std::string service;
  std::int64_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/// Calls of one host and path prefix.
struct RouteSpec
{
  /// Host header without port; empty for any.
  std::string host;
  std::string pathPrefix;
  RouteKind kind = RouteKind::ByMethod;
  /// Time that a caller is kept waiting at most; 0: the service's deadline.
  Millis timeout{ 0 };
  /// Targets that may get one call; 0: the service's attempts.
  std::int64_t attempts = 0;
  /// Rank among the calls that wait; 0 is the most urgent.
  std::int64_t priority = 0;
  /// Time within which an answer has its full worth; 0: the service's.
  Millis objective{ 0 };
  /// Services that answer; empty: the service of the file.
  std::vector<WeightedService> split;

  bool operator==(const RouteSpec&) const = default;
};

/// What callers may send, for the whole fleet; the tightest file counts.
struct CallerLimits
{
  std::int64_t headerBytes = 1 << 20;
  std::int64_t bodyBytes = 1LL << 30U;
  Millis headerTime{ 600000 };
  Millis idleTime{ 600000 };

  bool operator==(const CallerLimits&) const = default;
};

struct ServiceLimits
{
  std::int64_t bodyBytes = 1 << 20;
  std::int64_t answerBytes = 16 << 20;
  std::int64_t queueLength = 64;
  Millis queueTime{ 2000 };
};

struct RetrySpec
{
  /// Retries allowed for each first attempt.
  double ratio = 0.1;
  /// Retries that may be saved up.
  std::int64_t burst = 10;
  std::int64_t attempts = 3;
};

struct HedgeSpec
{
  bool enabled = false;
  /// Latency quantile after which a second attempt starts.
  double quantile = 0.95;
};

struct MeasuringSpec
{
  /// Bytes of load reports and probes a second for the whole fleet.
  std::int64_t bytesPerSecond = 65536;
  /// The part of it that may cross a region link.
  std::int64_t crossRegionBytesPerSecond = 16384;
};

struct SpillSpec
{
  bool crossRegion = true;
  /// Bytes of spilled calls a second for the whole fleet.
  std::int64_t bytesPerSecond = 2 << 20;
};

struct ObjectiveSpec
{
  double availability = 0.999;
  Millis latency{ 250 };
  double latencyQuantile = 0.99;
  std::int64_t windowDays = 28;
};

struct QuarantineSpec
{
  /// Weighted crashes after which a fingerprint is refused.
  double threshold = 2.0;
  Seconds lifetime{ 600 };
};

/// One service as its operators declare it.
struct ServiceSpec
{
  std::string name;
  std::int64_t revision = 0;
  /// True once the service is withdrawn; its entry stays as a tombstone.
  bool retired = false;
  /// True if only routes of other files lead to the service.
  bool unrouted = false;
  std::vector<std::string> hosts;
  std::string pathPrefix;
  std::vector<RouteSpec> routes;
  /// Path that tells health and load of a target; empty if there is none.
  std::string healthPath;
  /// Connections that a target accepts; 0: as the daemon's settings say.
  std::int64_t connections = 0;
  CallerLimits callers;
  Millis deadline{ 2000 };
  PolicyKind policy = PolicyKind::ExpectedFinish;
  std::vector<std::string> idempotentPaths;
  std::vector<std::string> nonIdempotentPaths;
  std::vector<std::string> claimPaths;
  ClaimFallback claimFallback = ClaimFallback::Refuse;
  ServiceLimits limits;
  RetrySpec retry;
  HedgeSpec hedge;
  MeasuringSpec measuring;
  SpillSpec spill;
  ObjectiveSpec objective;
  QuarantineSpec quarantine;
  Millis ramp{ 10000 };
};

/// The keys of a service file.
const std::vector<Field<ServiceSpec>>& ServiceSchema();

/// Parses and checks a service file.
Result<ServiceSpec> ParseService(std::string_view aText,
                                 std::string_view aFile);

/// True if repeating the request has the effect of sending it once: by its
/// HTTP method, unless the service file names its path.
bool IsIdempotent(const ServiceSpec& aService,
                  std::string_view aMethod,
                  std::string_view aTarget);

/// The keys of one entry of a service file's `routes`.
const std::vector<Field<RouteSpec>>& RouteSchema();

/// Returns the routes that a service file declares: those of `hosts` and
/// `path_prefix`, then those listed in `routes`, with every default filled in.
std::vector<RouteSpec> RoutesOf(const ServiceSpec& aService);

/// True if the calls of a route may be repeated.
bool IsIdempotent(const RouteSpec& aRoute,
                  const ServiceSpec& aService,
                  std::string_view aMethod,
                  std::string_view aTarget);

}
