/// @file
/// Time types. Time points are those of the monotonic clock.
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace baobab {

using namespace std::chrono_literals;

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Times that also pass while the machine is suspended, for what must not
/// outlive a limit in real time. Like TimePoint they do not depend on the time
/// of day.
struct BootClock
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
};

using BootTime = BootClock::time_point;

/// Returns a time point as nanoseconds, to be stored in an atomic.
constexpr std::int64_t
Nanos(TimePoint aTime)
{
  return aTime.time_since_epoch() / 1ns;
}

/// A source of monotonic time with a static `now()`.
template<class T>
concept Clock = requires {
  {
    T::now()
  } -> std::convertible_to<TimePoint>;
};

}
