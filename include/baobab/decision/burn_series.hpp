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

/// Good and bad calls.
struct BurnCount
{
  std::uint64_t good = 0;
  std::uint64_t bad = 0;

  std::uint64_t Total() const { return this->good + this->bad; }
  bool operator==(const BurnCount&) const = default;
};

/// Width of the buckets of one level, and how many are kept.
struct BurnLevel
{
  std::chrono::seconds width;
  std::int64_t kept;
};

/// Good and bad calls over time, in coarser buckets the older they are.
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

  /// Adds calls and drops buckets that are no longer kept.
  void Add(const BurnCount& aCount, StatusTime aAt);

  /// Adds the calls of another series.
  void Merge(const BurnSeries& aOther);

  /// Calls of the last span of time, to the width of the finest level that
  /// holds it.
  BurnCount Last(std::chrono::seconds aSpan, StatusTime aNow) const;

  std::array<Buckets, kLevels.size()> levels;
};

}
