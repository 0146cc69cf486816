/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <atomic>
#include <cstdint>

namespace baobab {

/// Circuit breaker of one target. It counts single attempts, not calls with
/// their retries. When its open time is over, it lets one attempt pass as a
/// probe. Lock-free.
class Breaker
{
public:
  /// Consecutive failed attempts that open the breaker.
  static constexpr std::int32_t kFailuresToOpen = 5;
  static constexpr Duration kOpenTime = 1s;

  /// True if no attempt may be made at this time.
  bool IsOpen(TimePoint aNow) const;

  /// Asks to make an attempt. Returns true if the breaker is closed, or for the
  /// one probe after its open time.
  bool TryAttempt(TimePoint aNow);

  /// Records an attempt that the target or its daemon responded to. Closes the
  /// breaker.
  void RecordSuccess();

  /// Records an attempt that did not reach the target or was lost there.
  void RecordFailure(TimePoint aNow);

  /// Opens the breaker for a time, regardless of the failures so far.
  void OpenFor(TimePoint aNow, Duration aTime);

private:
  std::atomic<std::int32_t> failures{ 0 };
  /// Nanoseconds; 0 while closed.
  std::atomic<std::int64_t> openUntil{ 0 };
};

}
