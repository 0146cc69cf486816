/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <algorithm>
#include <cstdint>

namespace baobab {

/// Limit on the mean rate of rare, large transfers. Unused bytes are saved for
/// a limited time and may be spent at once. Not thread-safe.
class TransferBudget
{
public:
  /// @param aBytesPerSecond mean rate
  /// @param aSaved time over which unused bytes accumulate at most; the budget
  ///   starts full
  TransferBudget(std::int64_t aBytesPerSecond, Duration aSaved, TimePoint aNow)
    : rate(aBytesPerSecond)
    , capacity(aBytesPerSecond * (aSaved / 1ms) / kMillis)
    , saved(capacity)
    , refilledAt(aNow)
  {
  }

  /// Charges a transfer if any bytes are left. Returns false, and charges
  /// nothing, if none are. A transfer may exceed the bytes that are left; later
  /// ones are then denied until the excess is made up.
  bool Charge(std::int64_t aBytes, TimePoint aNow)
  {
    const auto gained =
      this->rate * ((aNow - this->refilledAt) / 1ms) / kMillis;
    if (gained > 0) {
      this->saved = std::min(this->capacity, this->saved + gained);
      this->refilledAt = aNow;
    }
    if (this->saved <= 0) {
      return false;
    }
    this->saved -= aBytes;
    return true;
  }

private:
  static constexpr std::int64_t kMillis = 1000;

  std::int64_t rate;
  std::int64_t capacity;
  std::int64_t saved;
  TimePoint refilledAt;
};

}
