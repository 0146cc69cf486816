/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <atomic>
#include <optional>

namespace baobab {

/// The limit of requests that a target named in its last answer. Lock-free.
class NamedLimit
{
public:
  /// Sets what an answer named, in requests per second.
  void Set(std::optional<double> aRate, TimePoint aNow)
  {
    if (!aRate && this->rate.load(std::memory_order_relaxed) < 0) {
      return;
    }
    this->rate = aRate.value_or(kNone);
    this->seenAt = aNow.time_since_epoch().count();
  }

  /// Returns the limit if it was named later than a time.
  std::optional<double> Get(TimePoint aSince) const
  {
    const double value = this->rate.load(std::memory_order_relaxed);
    const bool recent = this->seenAt.load(std::memory_order_relaxed) >
                        aSince.time_since_epoch().count();
    return value >= 0 && recent ? std::optional(value) : std::nullopt;
  }

private:
  static constexpr double kNone = -1;

  std::atomic<double> rate{ kNone };
  std::atomic<TimePoint::rep> seenAt{ 0 };
};

}
