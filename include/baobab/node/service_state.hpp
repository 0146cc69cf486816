/// @file
#pragma once

#include "baobab/core/service.hpp"
#include "baobab/decision/byte_budget.hpp"
#include "baobab/decision/choice.hpp"
#include "baobab/decision/retry_budget.hpp"
#include "baobab/decision/target_load.hpp"

#include <atomic>

namespace baobab {

/// What a daemon keeps about a service across configurations. Lock-free.
class ServiceState
{
public:
  explicit ServiceState(const ServiceSpec& aSpec)
    : retryBudget(aSpec.retry.ratio, aSpec.retry.burst)
  {
  }

  /// Takes a measured latency and the load that came with it into the means.
  void ObserveLatency(Duration aLatency)
  {
    constexpr std::int64_t kSpan = 32;
    const std::int64_t sample = aLatency / std::chrono::nanoseconds(1);
    const std::int64_t mean = this->meanLatency.load(std::memory_order_relaxed);
    this->meanLatency.store(mean == 0 ? sample : mean + (sample - mean) / kSpan,
                            std::memory_order_relaxed);
  }

  /// Takes a target's reported load into the mean.
  void ObserveOthers(double aOthersPerSlot)
  {
    constexpr double kSpan = 32;
    const double mean = this->meanOthers.load(std::memory_order_relaxed);
    this->meanOthers.store(mean + (aOthersPerSlot - mean) / kSpan,
                           std::memory_order_relaxed);
  }

  /// Takes the slowness of a target's host into the mean.
  void ObserveSlowness(double aSlowness)
  {
    constexpr double kSpan = 64;
    const double mean = this->meanSlowness.load(std::memory_order_relaxed);
    this->meanSlowness.store(mean + (aSlowness - mean) / kSpan,
                             std::memory_order_relaxed);
  }

  PeerPrior Prior() const
  {
    return { this->meanOthers.load(std::memory_order_relaxed),
             std::chrono::nanoseconds(
               this->meanLatency.load(std::memory_order_relaxed)),
             this->meanSlowness.load(std::memory_order_relaxed) };
  }

  RetryBudget retryBudget;
  /// Load reports and probes of this daemon, within and across regions.
  ByteBudget measurementBudget;
  ByteBudget crossRegionMeasurementBudget;
  /// Calls of this daemon that leave the region.
  ByteBudget spillBudget;
  RoundRobinChoice roundRobin;

private:
  std::atomic<std::int64_t> meanLatency{ 0 };
  std::atomic<double> meanOthers{ 0 };
  std::atomic<double> meanSlowness{ 1 };
};

}
