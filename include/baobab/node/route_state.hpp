/// @file
#pragma once

#include "baobab/core/time.hpp"
#include "baobab/decision/earlier_wait.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace baobab {

/// Moving averages over a route's calls, as one daemon sees them. Lock-free.
class RouteState
{
public:
  /// Adds an answered call.
  /// @param aWork time at the target, normalized by the slowness of its host
  void Observe(Duration aWork, std::size_t aAnswerBytes)
  {
    UpdateMean(this->work, aWork / std::chrono::nanoseconds(1));
    UpdateMean(this->bytes, static_cast<std::int64_t>(aAnswerBytes));
  }

  /// Mean work of a call; the default before the first call.
  Duration Work(Duration aDefault) const
  {
    const std::int64_t known = this->work.load(std::memory_order_relaxed);
    return known == 0 ? aDefault : Duration(std::chrono::nanoseconds(known));
  }

  /// Mean size of an answer in bytes; 0 before the first call.
  std::int64_t AnswerBytes() const
  {
    return this->bytes.load(std::memory_order_relaxed);
  }

  /// Time that callers have waited over earlier attempts.
  EarlierWait earlierWait;

private:
  /// Adds a sample to an exponential moving average. If two threads update at
  /// once, one sample may be lost.
  static void UpdateMean(std::atomic<std::int64_t>& aMean, std::int64_t aSample)
  {
    constexpr std::int64_t kSmoothingDivisor = 16;
    const std::int64_t before = aMean.load(std::memory_order_relaxed);
    aMean.store(before == 0 ? aSample
                            : before + (aSample - before) / kSmoothingDivisor,
                std::memory_order_relaxed);
  }

  std::atomic<std::int64_t> work{ 0 };
  std::atomic<std::int64_t> bytes{ 0 };
};

}
