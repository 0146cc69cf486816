/// @file
#pragma once

#include "baobab/core/call_class.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/weighted_mean.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace baobab {

/// Statistics of one service on one worker, or of several workers together.
struct ServiceStats
{
  /// Weighted, so that the set of one worker can be added to another's.
  using Latency = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::sum_of_weights,
                               boost::accumulators::tag::weighted_mean>,
    double>;

  /// Upper bounds of the latency histogram, in seconds.
  static constexpr std::array<double, 12> kBounds = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5,
  };

  void Record(CallClass aClass, std::chrono::nanoseconds aLatency)
  {
    const double seconds = std::chrono::duration<double>(aLatency).count();
    ++this->calls[static_cast<std::size_t>(aClass)];
    this->latency(seconds, boost::accumulators::weight = 1.0);
    for (std::size_t i = 0; i < kBounds.size(); ++i) {
      this->buckets[i] += seconds <= kBounds[i] ? 1 : 0;
    }
  }

  /// Adds the calls of another worker.
  void Merge(const ServiceStats& aOther)
  {
    namespace acc = boost::accumulators;
    for (std::size_t i = 0; i < kCallClasses; ++i) {
      this->calls[i] += aOther.calls[i];
    }
    for (std::size_t i = 0; i < kBounds.size(); ++i) {
      this->buckets[i] += aOther.buckets[i];
    }
    this->attempts += aOther.attempts;
    this->spilled += aOther.spilled;
    const double weight = acc::sum_of_weights(aOther.latency);
    if (weight > 0) {
      this->latency(acc::weighted_mean(aOther.latency), acc::weight = weight);
    }
  }

  /// Calls whose latency was recorded.
  double Count() const
  {
    return boost::accumulators::sum_of_weights(this->latency);
  }

  /// Sum of the recorded latencies, in seconds.
  double SecondsSum() const
  {
    return this->Count() == 0
             ? 0
             : this->Count() *
                 boost::accumulators::weighted_mean(this->latency);
  }

  std::array<std::uint64_t, kCallClasses> calls{};
  std::array<std::uint64_t, kBounds.size()> buckets{};
  Latency latency;
  std::uint64_t attempts = 0;
  std::uint64_t spilled = 0;
};

/// Statistics of all services on one worker, by service name.
using WorkerStats = std::map<std::string, ServiceStats, std::less<>>;

}
