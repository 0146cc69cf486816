/// @file
/// Infers how long a caller has already waited over earlier attempts.
#pragma once

#include "baobab/core/time.hpp"

#include <atomic>
#include <cstdint>

namespace baobab {

/// Infers from the time that a caller allows how long it has waited before.
///
/// Load pattern: under overload, callers whose request was refused or failed
/// come back with what is left of their time. Their latency objective counts
/// from their first attempt, so it is often out of reach. If they were taken
/// for new ones, they would take the place of calls that can still be in time.
///
/// One object is used for the calls of a route. A call that allows clearly less
/// time than usual is taken for such a return, as long as enough calls of the
/// route have ended badly lately. Lock-free.
class EarlierWait
{
public:
  /// Records a call that arrives.
  /// @param aRemaining time that its caller allows
  /// @return time that the caller has waited before; 0 for a first attempt
  Duration Observe(Duration aRemaining, TimePoint aNow);

  /// Records a call that was refused or failed, so that its caller may return.
  void RecordFailure(TimePoint aNow);

private:
  /// Takes one of the failures whose callers may return. Returns false if there
  /// is none.
  bool TakeReturn(TimePoint aNow);

  /// Time that callers usually allow, in nanoseconds; 0 if unknown.
  std::atomic<std::int64_t> typical{ 0 };
  std::atomic<std::int32_t> expectedReturns{ 0 };
  std::atomic<std::int64_t> lastFailureAt{ 0 };
};

}
