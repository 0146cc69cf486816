/// @file
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/weighted_mean.hpp>

#include <array>
#include <chrono>
#include <cstdint>

namespace baobab {

/// Histogram of latencies with cumulative buckets, count and sum. Not
/// thread-safe.
class LatencyHistogram
{
public:
  /// Upper bounds of the buckets, in seconds.
  static constexpr std::array<double, 14> kBoundsSeconds = {
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
    0.1,    0.25,  0.5,    1,     2.5,  5,     10,
  };

  void Record(std::chrono::nanoseconds aLatency)
  {
    const double seconds = std::chrono::duration<double>(aLatency).count();
    this->latency(seconds, boost::accumulators::weight = 1.0);
    for (std::size_t i = 0; i < kBoundsSeconds.size(); ++i) {
      this->buckets[i] += seconds <= kBoundsSeconds[i] ? 1 : 0;
    }
  }

  /// Adds the latencies of another histogram.
  void Merge(const LatencyHistogram& aOther)
  {
    for (std::size_t i = 0; i < kBoundsSeconds.size(); ++i) {
      this->buckets[i] += aOther.buckets[i];
    }
    const double count = aOther.Count();
    if (count > 0) {
      this->latency(boost::accumulators::weighted_mean(aOther.latency),
                    boost::accumulators::weight = count);
    }
  }

  /// Number of recorded latencies.
  double Count() const
  {
    return boost::accumulators::sum_of_weights(this->latency);
  }

  /// Sum of the latencies, in seconds.
  double Sum() const
  {
    return this->Count() == 0
             ? 0
             : this->Count() *
                 boost::accumulators::weighted_mean(this->latency);
  }

  /// For each bound, the number of latencies that do not exceed it.
  const std::array<std::uint64_t, kBoundsSeconds.size()>& Buckets() const
  {
    return this->buckets;
  }

private:
  /// Weighted, so that Merge() can add the mean of another set by its count.
  using Latency = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::sum_of_weights,
                               boost::accumulators::tag::weighted_mean>,
    double>;

  std::array<std::uint64_t, kBoundsSeconds.size()> buckets{};
  Latency latency;
};

}
