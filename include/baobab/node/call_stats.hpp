/// @file
/// Counters and latency histograms that the metrics page is built from.
#pragma once

#include "baobab/core/call_class.hpp"
#include "baobab/core/outcome.hpp"
#include "baobab/node/latency_histogram.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace baobab {

/// Statistics of one service's calls, kept by the daemon that receives them
/// from callers.
struct ServiceStats
{
  /// Whether a call is idempotent, and its class by how it ended.
  using Kind = std::pair<bool, CallClass>;

  void Record(bool aIdempotent,
              CallClass aClass,
              std::chrono::nanoseconds aLatency)
  {
    ++this->calls[static_cast<std::size_t>(aClass)];
    this->latencies[{ aIdempotent, aClass }].Record(aLatency);
  }

  /// Adds the statistics of another worker.
  void Merge(const ServiceStats& aOther)
  {
    for (std::size_t i = 0; i < kCallClassCount; ++i) {
      this->calls[i] += aOther.calls[i];
    }
    for (const auto& [kind, histogram] : aOther.latencies) {
      this->latencies[kind].Merge(histogram);
    }
    this->networkTimes.Merge(aOther.networkTimes);
    this->attempts += aOther.attempts;
    this->crossRegionAttempts += aOther.crossRegionAttempts;
  }

  std::array<std::uint64_t, kCallClassCount> calls{};
  std::map<Kind, LatencyHistogram> latencies;
  /// Latencies of answered attempts, less the time at the target's daemon.
  LatencyHistogram networkTimes;
  std::uint64_t attempts = 0;
  /// Attempts sent to a target in another region.
  std::uint64_t crossRegionAttempts = 0;
};

/// Statistics of all services on one worker, by service name.
using WorkerStats = std::map<std::string, ServiceStats, std::less<>>;

/// Statistics of the calls at the local target, kept by its daemon.
struct TargetStats
{
  /// Time from a call's arrival until it is sent to the target.
  LatencyHistogram queueWaits;
  /// Time from sending a call to the target until its answer.
  LatencyHistogram targetTimes;
  /// Calls that were sent to the target and whose outcome is unknown.
  std::uint64_t lost = 0;
  std::map<RefusalReason, std::uint64_t> refusals;
};

}
