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

struct ServiceLimits
{
  std::int64_t bodyBytes = 1 << 20;
  std::int64_t answerBytes = 4 << 20;
  std::int64_t queueLength = 64;
  Millis queueTime{ 100 };
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
  std::int64_t crossRegionBytesPerSecond = 0;
};

struct SpillSpec
{
  bool crossRegion = true;
  /// Bytes of spilled calls a second for the whole fleet.
  std::int64_t bytesPerSecond = 1 << 20;
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
  std::vector<std::string> hosts;
  std::string pathPrefix;
  Millis deadline{ 2000 };
  PolicyKind policy = PolicyKind::LoadAware;
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

/// True if the request matches the service's hosts and path prefix.
/// @param aHost Host header without port
bool Matches(const ServiceSpec& aService,
             std::string_view aHost,
             std::string_view aTarget);

}
