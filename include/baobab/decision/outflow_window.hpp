#pragma once

#include "baobab/core/time.hpp"

#include <atomic>
#include <cstdint>

namespace baobab {

/// How a call that left its zone has ended.
enum class OutflowResult : std::uint8_t
{
  /// Answered within its objective.
  InTime,
  /// Handed back, refused, lost or late: there was less room than expected.
  NoRoom,
  /// Cancelled, or failed by the target: this says nothing about the room.
  Unrelated,
};

/// Limits the calls that one daemon has in flight to the targets of a service
/// outside its availability zone, in the manner of a congestion window: each
/// call that ends in time widens it a little, one that finds no room narrows
/// it. Many daemons see the same stale load reports; without the limit all of
/// them would send to the same free targets at once. Lock-free.
class OutflowWindow
{
public:
  static constexpr double kInitialLimit = 4;
  static constexpr double kMinLimit = 1;
  static constexpr double kMaxLimit = 1024;

  /// Time for which no call leaves after one that found no room. It doubles
  /// with each further one while the limit cannot be reduced.
  static constexpr Duration kMinPause = 50ms;
  static constexpr Duration kMaxPause = 800ms;

  /// True if one more call may leave.
  bool HasRoom(TimePoint aNow) const
  {
    return this->inFlight.load(std::memory_order_relaxed) <
             static_cast<std::int32_t>(
               this->limit.load(std::memory_order_relaxed)) &&
           Nanos(aNow) >= this->closedUntil.load(std::memory_order_relaxed);
  }

  void Begin() { this->inFlight.fetch_add(1, std::memory_order_relaxed); }

  void End(OutflowResult aResult, TimePoint aNow);

  double Limit() const { return this->limit.load(std::memory_order_relaxed); }

  std::int32_t InFlight() const
  {
    return this->inFlight.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::int32_t> inFlight{ 0 };
  std::atomic<double> limit{ kInitialLimit };
  /// Last pause in nanoseconds.
  std::atomic<std::int64_t> pause{ kMinPause / 1ns };
  /// End of the last pause in nanoseconds.
  std::atomic<std::int64_t> closedUntil{ 0 };
};

}
