/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <algorithm>
#include <cstdint>

namespace baobab {

/// Bound on the mean rate of rare, large transfers: what was not used for up
/// to a while may be spent at once. One thread.
class TransferBudget
{
public:
  /// @param aBytesPerSecond mean rate
  /// @param aSaved time for which unused bytes are kept; it starts full
  TransferBudget(std::int64_t aBytesPerSecond, Duration aSaved, TimePoint aNow)
    : rate(aBytesPerSecond)
    , most(aBytesPerSecond * (aSaved / 1ms) / kMillis)
    , saved(most)
    , at(aNow)
  {
  }

  /// Charges a transfer if anything is left. It may be larger than what is
  /// left; later ones then wait.
  bool Charge(std::int64_t aBytes, TimePoint aNow)
  {
    const auto gained = this->rate * ((aNow - this->at) / 1ms) / kMillis;
    if (gained > 0) {
      this->saved = std::min(this->most, this->saved + gained);
      this->at = aNow;
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
  std::int64_t most;
  std::int64_t saved;
  TimePoint at;
};

}
