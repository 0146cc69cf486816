/// @file
/// State of a service that outlives a change of the configuration.
#pragma once

#include "baobab/core/locality.hpp"
#include "baobab/core/service.hpp"
#include "baobab/decision/byte_budget.hpp"
#include "baobab/decision/choice.hpp"
#include "baobab/decision/outflow_window.hpp"
#include "baobab/decision/retry_budget.hpp"
#include "baobab/decision/target_load.hpp"

#include <array>
#include <atomic>

namespace baobab {

/// Budgets of a service and moving averages over its targets. They are kept
/// when a new configuration is adopted. Lock-free.
class ServiceState
{
public:
  explicit ServiceState(const ServiceSpec& aSpec)
    : retryBudget(aSpec.retry.ratio, aSpec.retry.burst)
  {
  }

  /// Updates the mean latency with that of an answered attempt.
  void ObserveLatency(Duration aLatency)
  {
    constexpr std::int64_t kSmoothingDivisor = 32;
    const std::int64_t sample = aLatency / std::chrono::nanoseconds(1);
    const std::int64_t mean = this->meanLatency.load(std::memory_order_relaxed);
    this->meanLatency.store(
      mean == 0 ? sample : mean + (sample - mean) / kSmoothingDivisor,
      std::memory_order_relaxed);
  }

  /// Updates the mean load that other daemons put on a target.
  /// @param aOthersPerSlot calls of other daemons at a target, per slot
  void ObserveOthers(double aOthersPerSlot)
  {
    constexpr double kSmoothingDivisor = 32;
    const double mean = this->meanOthers.load(std::memory_order_relaxed);
    this->meanOthers.store(mean + (aOthersPerSlot - mean) / kSmoothingDivisor,
                           std::memory_order_relaxed);
  }

  /// Updates the mean slowdown of the targets' hosts; 1 is normal speed.
  void ObserveSlowness(double aSlowness)
  {
    constexpr double kSmoothingDivisor = 64;
    const double mean = this->meanSlowness.load(std::memory_order_relaxed);
    this->meanSlowness.store(mean + (aSlowness - mean) / kSmoothingDivisor,
                             std::memory_order_relaxed);
  }

  /// Returns the means, which serve as estimates for targets without
  /// measurements.
  TargetPrior TargetMeans() const
  {
    return { this->meanOthers.load(std::memory_order_relaxed),
             std::chrono::nanoseconds(
               this->meanLatency.load(std::memory_order_relaxed)),
             this->meanSlowness.load(std::memory_order_relaxed) };
  }

  RetryBudget retryBudget;
  /// For all load reports and probes that this daemon sends.
  ByteBudget measurementBudget;
  /// For those that go to another region.
  ByteBudget crossRegionMeasurementBudget;
  /// For calls that this daemon sends to targets in another region.
  ByteBudget crossRegionCallBudget;
  RoundRobinChoice roundRobin;

  /// Window of the calls that this daemon sends to a tier although a nearer one
  /// has targets.
  OutflowWindow& Outflow(Tier aTier)
  {
    return this->outflow[static_cast<std::size_t>(aTier)];
  }

private:
  std::atomic<std::int64_t> meanLatency{ 0 };
  std::atomic<double> meanOthers{ 0 };
  std::atomic<double> meanSlowness{ 1 };
  std::array<OutflowWindow, kTierCount> outflow;
};

}
