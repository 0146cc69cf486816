/// @file
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace baobab {

/// Wall-clock time of status objects, in seconds since the epoch.
using StatusTime = std::chrono::seconds;

/// Numbers of good and bad calls.
struct BurnCount
{
  std::uint64_t good = 0;
  std::uint64_t bad = 0;

  std::uint64_t Total() const { return this->good + this->bad; }
  bool operator==(const BurnCount&) const = default;
};

/// Width and maximum number of the buckets of one level.
struct BurnLevel
{
  std::chrono::seconds width;
  std::int64_t bucketCount;
};

/// Numbers of good and bad calls over time. Each level counts all calls; levels
/// with wider buckets reach back further.
class BurnSeries
{
public:
  static constexpr std::array<BurnLevel, 4> kLevels = { {
    { std::chrono::minutes(1), 10 },
    { std::chrono::minutes(10), 36 },
    { std::chrono::hours(2), 36 },
    { std::chrono::hours(24), 90 },
  } };

  /// Buckets of one level by their number since the epoch.
  using Buckets = std::map<std::int64_t, BurnCount>;

  /// Adds calls and drops the buckets that are too old.
  void Add(const BurnCount& aCount, StatusTime aAt);

  /// Adds the calls of another series.
  void Merge(const BurnSeries& aOther);

  /// Calls of the last span of time, rounded to the buckets of the finest level
  /// that reaches back so far.
  BurnCount Last(std::chrono::seconds aSpan, StatusTime aNow) const;

  std::array<Buckets, kLevels.size()> levels;
};

}
