/// @file
/// Time types of the decision code. All of them are monotonic.
#pragma once

#include <chrono>
#include <concepts>

namespace baobab {

using namespace std::chrono_literals;

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// A source of monotonic time.
template<class T>
concept Clock = requires {
  {
    T::now()
  } -> std::convertible_to<TimePoint>;
};

}
