/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <cstddef>
#include <deque>

namespace baobab {

/// Limits the calls that a target gets while it is cold. Kept by the daemon
/// beside the target, through which all of its calls pass.
///
/// A target may become cold at any moment and says so only when it is asked.
/// The limit therefore also holds for calls that were sent since the target
/// last proved that it is warm: however late the next proof is, a target that
/// has become cold meanwhile has not got more.
class WarmupLimit
{
public:
  /// Sets the calls per second that a cold target takes; 0: no limit.
  /// @param aProven true if the target is asked for proofs that it is warm;
  /// otherwise it counts as warm until it says that it is not
  void Configure(double aRate, bool aProven);

  /// Applies what the target said of itself.
  /// @param aLeft time for which it stays cold; 0: it is warm
  /// @param aAskedAt time before which the target did not say it
  void OnReport(Duration aLeft, TimePoint aAskedAt, TimePoint aNow);

  /// Counts the target as cold for a time, until it says otherwise.
  void SetCold(Duration aTime, TimePoint aNow);

  /// Counts a call. Returns false if it must not be sent to the target now.
  bool TryStart(TimePoint aNow);

  /// True if TryStart() would succeed.
  bool MayStart(TimePoint aNow) const;

  /// Expected time until calls that come after others may start.
  /// @param aAhead number of calls that start before
  Duration TimeUntilStart(std::size_t aAhead, TimePoint aNow) const;

  /// True if the target should be asked now whether it is warm.
  bool NeedsProof(TimePoint aNow) const;

  bool IsCold(TimePoint aNow) const
  {
    return this->rate > 0 && aNow < this->coldUntil;
  }

  /// Calls per second that a cold target takes; 0: no limit.
  double Rate() const { return this->rate; }

private:
  struct SentCall
  {
    TimePoint at;
    /// True if the target is known to have been cold.
    bool toCold = false;
  };

  /// Calls that may be sent in one second without a proof.
  std::size_t MostInSecond() const;
  /// Calls of the last second that were sent after a time, or to a target that
  /// was cold.
  std::size_t SentSince(TimePoint aTime, TimePoint aNow) const;
  double Tokens(TimePoint aNow) const;

  double rate = 0;
  bool proven = false;
  TimePoint coldUntil;
  /// Time of the last question that the target answered, and of the last one
  /// to which it answered that it is warm.
  TimePoint answeredAt;
  TimePoint warmAt;
  /// Calls that a cold target may get now, and when that was computed.
  double tokens = 0;
  TimePoint tokensAt;
  /// Calls that were sent in the last second.
  std::deque<SentCall> sent;
};

}
