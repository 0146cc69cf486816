/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace baobab {

/// What a daemon learns about a route's calls. Lock-free.
class RouteState
{
public:
  /// Takes in an answered call.
  /// @param aWork time at the target, as if its host were unhurried
  void Observe(Duration aWork, std::size_t aAnswerBytes)
  {
    Blend(this->work, aWork / std::chrono::nanoseconds(1));
    Blend(this->bytes, static_cast<std::int64_t>(aAnswerBytes));
  }

  /// Usual work of a call; the default while nothing is known.
  Duration Work(Duration aDefault) const
  {
    const std::int64_t known = this->work.load(std::memory_order_relaxed);
    return known == 0 ? aDefault : Duration(std::chrono::nanoseconds(known));
  }

  /// Usual size of an answer.
  std::int64_t AnswerBytes() const
  {
    return this->bytes.load(std::memory_order_relaxed);
  }

private:
  static void Blend(std::atomic<std::int64_t>& aMean, std::int64_t aSample)
  {
    constexpr std::int64_t kSpan = 16;
    const std::int64_t before = aMean.load(std::memory_order_relaxed);
    aMean.store(before == 0 ? aSample : before + (aSample - before) / kSpan,
                std::memory_order_relaxed);
  }

  std::atomic<std::int64_t> work{ 0 };
  std::atomic<std::int64_t> bytes{ 0 };
};

}
