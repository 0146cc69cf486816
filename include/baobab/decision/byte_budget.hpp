/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <atomic>
#include <cstdint>

namespace baobab {

/// Bound on bytes: no second of any alignment carries more than the rate.
///
/// A quarter of the rate may be sent at once and the other three quarters
/// flow evenly, so that both together stay within the rate. Lock-free.
class ByteBudget
{
public:
  explicit ByteBudget(std::int64_t aBytesPerSecond = 0);

  /// Changes the rate. 0 forbids every byte.
  void SetRate(std::int64_t aBytesPerSecond);

  std::int64_t Rate() const { return this->rate.load(); }

  /// Charges bytes before they are sent. Returns false, and charges nothing,
  /// if they do not fit.
  bool Charge(std::int64_t aBytes, TimePoint aNow);

  /// Bytes charged since the start.
  std::int64_t Spent() const { return this->spent.load(); }

private:
  std::atomic<std::int64_t> rate;
  /// Time, in nanoseconds, until which the flow is already used.
  std::atomic<std::int64_t> usedUntil{ INT64_MIN / 2 };
  std::atomic<std::int64_t> spent{ 0 };
};

/// Share of one daemon in a budget of the fleet, rounded down. A daemon that
/// has not been a member for the settling time has no share.
/// @param aDaemons members that may be spending, this one included
std::int64_t ShareOf(std::int64_t aFleetRate,
                     std::int64_t aDaemons,
                     bool aSettled);

}
