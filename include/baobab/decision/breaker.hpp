/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <atomic>
#include <cstdint>

namespace baobab {

/// Circuit breaker of one target. It counts single attempts, so it stands
/// inside the retries; when its time is over it lets one probe pass.
/// Lock-free.
class Breaker
{
public:
  static constexpr std::int32_t kFailuresToOpen = 5;
  static constexpr Duration kOpenTime = 1s;

  /// True if attempts are held back at this time.
  bool IsOpen(TimePoint aNow) const;

  /// Asks to make an attempt. A breaker whose time is over grants one.
  bool TryAttempt(TimePoint aNow);

  /// Records the end of an attempt that reached the target.
  void RecordSuccess();

  /// Records an attempt that failed to reach the target or was lost there.
  void RecordFailure(TimePoint aNow);

  /// Holds attempts back for a time, whatever was counted.
  void OpenFor(TimePoint aNow, Duration aTime);

private:
  std::atomic<std::int32_t> failures{ 0 };
  /// Nanoseconds; 0 while closed.
  std::atomic<std::int64_t> openUntil{ 0 };
};

}
