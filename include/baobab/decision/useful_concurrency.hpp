/// @file
/// Learns how many calls a target can usefully run at the same time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace baobab {

/// Learns the useful concurrency of a target from its service times.
///
/// Load pattern: a target that becomes slower when nearly all of its slots are
/// busy finishes fewer calls per second with full slots than with some of them
/// free. The limit is the number of calls with the highest throughput, which is
/// the number divided by the service time at that concurrency.
///
/// Service times also change with the load of the services that the calls use,
/// and so do the estimates that they are compared with. The logarithm of
/// service time over estimate is therefore split into a part that all calls
/// have in common at the moment, which is followed quickly, and the effect of
/// the concurrency, which is learned slowly and does not fall with the
/// concurrency. A target that is kept at its limit is tried with more or fewer
/// calls from time to time if that may turn out better, because only
/// differences within a short time show the effect.
class UsefulConcurrency
{
public:
  /// Sets the target's slots. Forgets everything if they have changed.
  void SetSlots(std::uint16_t aSlots);

  /// Forgets everything, because another instance of the target has started.
  void Reset();

  /// Records a call that was answered.
  /// @param aConcurrency calls that ran when it started, including itself
  /// @param aRatio service time divided by its estimate
  void Record(std::uint16_t aConcurrency, double aRatio);

  /// Calls that the target should run at the same time at most: all slots until
  /// something else has been learned.
  std::uint16_t Limit() const
  {
    return this->trialCalls > 0 ? this->trialLimit : this->limit;
  }

  /// Factor by which the service time grows at this concurrency, compared to
  /// the lowest one measured; at least 1.
  double Crowding(std::uint16_t aConcurrency) const;

private:
  /// Calls that started in a range of concurrency.
  struct Level
  {
    /// Effect on the logarithm of the service time.
    double effect = 0;
    /// Calls measured, up to a maximum; 0 if the effect is not known.
    double weight = 0;
  };

  /// Neighbouring levels whose effects are taken as equal.
  struct Block
  {
    double effect = 0;
    double weight = 0;
    /// Last level of the block.
    std::size_t last = 0;
  };

  std::size_t LevelOf(std::uint16_t aConcurrency) const;
  /// Highest concurrency of a level.
  std::uint16_t ConcurrencyOf(std::size_t aLevel) const;
  std::uint16_t LowestLimit() const;
  void AddSample(Level& aLevel, double aFitted, double aSample);
  std::vector<Block> FitBlocks() const;
  void UpdateCrowding(const std::vector<Block>& aBlocks);
  std::uint16_t BestLimit(const std::vector<Block>& aBlocks) const;
  void UpdateTrial(std::uint16_t aConcurrency);
  std::uint16_t MostPromisingLimit() const;

  std::uint16_t slots = 0;
  std::uint16_t limit = 0;
  /// Part of the logarithm that all calls have in common at the moment.
  double common = 0;
  bool measured = false;
  std::vector<Level> levels;
  /// Fitted effect by level; the lowest one is 0.
  std::vector<double> fitted;
  /// Limit of the running trial, and calls left in it.
  std::uint16_t trialLimit = 0;
  std::size_t trialCalls = 0;
  /// Calls measured at the limit since the last trial.
  std::size_t callsAtLimit = 0;
};

}
