/// @file
/// Learns how many calls a target can usefully run at the same time.
#pragma once

#include "baobab/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace baobab {

/// Learns the useful concurrency of a target from its service times.
///
/// Load pattern: a target that becomes slower when nearly all of its slots are
/// busy finishes fewer calls per second with full slots than with some of them
/// free. For each number of calls that run at the same time, this class keeps
/// the mean ratio of the service time to the estimated one. The ratio is
/// assumed not to fall with the number of calls. The limit is the number with
/// the highest throughput, which is the number divided by its ratio.
///
/// The means lose weight as they age. A limit below the slots is therefore
/// lifted after some time and learned again, which corrects it if the target
/// has changed. A target that is always full is measured with fewer calls from
/// time to time, so that there is something to compare with.
class UsefulConcurrency
{
public:
  /// Sets the target's slots. Forgets everything if they have changed.
  void SetSlots(std::uint16_t aSlots);

  /// Forgets everything, because another instance of the target has started.
  void Reset();

  /// Records a call that was answered.
  /// @param aConcurrency calls that ran when it started, including itself
  /// @param aRatio service time divided by the time that was estimated for a
  /// host that is neither slow nor crowded
  void Record(std::uint16_t aConcurrency, double aRatio, TimePoint aNow);

  /// Calls that the target should run at the same time at most: all slots until
  /// something else has been learned.
  std::uint16_t Limit() const { return this->limit; }

  /// Factor by which the service time grows at this concurrency, compared to a
  /// single call; at least 1.
  double Crowding(std::uint16_t aConcurrency) const;

private:
  /// Mean ratio of the calls that started in a range of concurrency.
  struct Level
  {
    double mean = 0;
    double weight = 0;
    TimePoint updatedAt;
  };

  /// Ratios of neighbouring levels that are taken as equal.
  struct Block
  {
    double mean = 0;
    double weight = 0;
    /// Last level of the block.
    std::size_t last = 0;
  };

  std::size_t LevelOf(std::uint16_t aConcurrency) const;
  /// Highest concurrency of a level.
  std::uint16_t ConcurrencyOf(std::size_t aLevel) const;
  std::vector<Block> FitBlocks(TimePoint aNow) const;
  /// True if calls were measured with nearly all slots busy, and too few with
  /// fewer to compare them with.
  bool LacksComparison(TimePoint aNow) const;
  /// Concurrency at which a full target is measured for comparison.
  std::uint16_t ComparisonConcurrency() const;
  void Update(TimePoint aNow);

  std::uint16_t slots = 0;
  std::uint16_t limit = 0;
  std::vector<Level> levels;
  /// Crowding factor by level.
  std::vector<double> crowding;
};

}
