/// @file
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/error.hpp"
#include "baobab/core/time.hpp"
#include "baobab/node/metrics.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace baobab {

/// How a configuration came into force.
struct Adoption
{
  std::uint64_t generation = 0;
  /// Generation that was in force before.
  std::uint64_t previous = 0;
  /// `store` or `peer`.
  std::string_view source;
  Endpoint from;
  /// Position in the store's history; empty if it came from a peer.
  std::string position;
};

/// What a daemon knows of the published configuration at a time.
struct ConfigState
{
  std::uint64_t generation = 0;
  /// True if this daemon watches the store for its availability zone.
  bool reader = false;
  /// Age of the store's last confirmation of the generation; unset: none.
  std::optional<Duration> confirmedAge;
  /// Position of that confirmation in the store's history.
  std::string position;
};

/// Logs and counts from where a daemon has its configuration, so that a
/// configuration that came late can be traced.
class ConfigLog
{
public:
  /// Records a read of the store that was answered.
  void OnStoreRead(bool aChanged, TimePoint aNow);

  /// Records a read of the store that failed. Logged when it is the first, and
  /// when the cause has changed, both at most once a second.
  void OnStoreFailed(const Error& aError, TimePoint aNow);

  /// Records a generation that a peer advertises.
  void OnAdvertised(std::uint64_t aGeneration,
                    std::uint64_t aInForce,
                    TimePoint aNow);

  void OnPullFailed(const Endpoint& aPeer, const Error& aError);

  void OnAdopted(const Adoption& aAdoption, TimePoint aNow);

  /// True every ten seconds: LogState() is to be called.
  bool StateDue(TimePoint aNow) const;

  void LogState(const ConfigState& aState, TimePoint aNow);

  void AddMetrics(MetricsPage& aPage) const;

private:
  /// Set while the reads of the store fail.
  std::optional<TimePoint> failingSince;
  /// Cause that was logged since then; empty if none was.
  std::string loggedFailure;
  std::optional<TimePoint> failureLoggedAt;
  /// Time at which the first generation newer than the one in force was
  /// advertised.
  std::optional<TimePoint> newerSince;
  std::uint64_t advertised = 0;
  std::optional<TimePoint> stateLoggedAt;
  std::uint64_t changedReads = 0;
  std::uint64_t unchangedReads = 0;
  std::uint64_t failedReads = 0;
  std::uint64_t failedPulls = 0;
  std::uint64_t adoptedFromStore = 0;
  std::uint64_t adoptedFromPeers = 0;
};

}
