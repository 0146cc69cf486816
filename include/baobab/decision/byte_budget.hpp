/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <atomic>
#include <cstdint>

namespace baobab {

/// Rate limit in bytes: no interval of one second, wherever it begins, carries
/// more than the rate.
///
/// A quarter of the rate may be sent at once, and three quarters refill evenly,
/// so that a full burst and a second's refill together stay within the rate.
/// Lock-free.
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
  /// Time, in nanoseconds, until which the refill is already spent.
  std::atomic<std::int64_t> usedUntil{ INT64_MIN / 2 };
  std::atomic<std::int64_t> spent{ 0 };
};

/// Share of one daemon in a budget of the fleet, rounded down.
/// @param aDaemons daemons that may be spending, this one included
/// @param aSettled false if this daemon has been a member for less than the
///   settling time; it then has no share
std::int64_t ShareOf(std::int64_t aFleetRate,
                     std::int64_t aDaemons,
                     bool aSettled);

}
