/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace baobab {

/// Tokens of one workspace that this daemon may spend. Calls take tokens from
/// any thread without a lock; only the control thread adds borrowed ones.
class QuotaCell
{
public:
  /// Counts a call, as the demand of the workspace.
  void CountCall() { this->calls.fetch_add(1, std::memory_order_relaxed); }

  /// Takes a token. Returns false if there is none.
  bool TryTake(TimePoint aNow)
  {
    if (Nanos(aNow) >= this->expiresAt.load(std::memory_order_acquire)) {
      return false;
    }
    std::int64_t held = this->tokens.load(std::memory_order_relaxed);
    while (held > 0) {
      if (this->tokens.compare_exchange_weak(
            held, held - 1, std::memory_order_relaxed)) {
        return true;
      }
    }
    return false;
  }

  /// Number of the current period between two reports to the lender.
  std::uint32_t Period() const
  {
    return this->period.load(std::memory_order_acquire);
  }

  void StartPeriod() { this->period.fetch_add(1, std::memory_order_release); }

  /// Returns the token of a call that was not run.
  /// @param aPeriod period in which it was taken; a token of an earlier one is
  ///   dropped, since the lender has replaced it already
  void PutBack(std::uint32_t aPeriod)
  {
    if (aPeriod == this->Period()) {
      this->tokens.fetch_add(1, std::memory_order_relaxed);
    }
  }

  /// Adds borrowed tokens; all tokens then expire at the given time.
  void Add(std::int64_t aTokens, TimePoint aExpiresAt)
  {
    this->expiresAt.store(Nanos(aExpiresAt), std::memory_order_release);
    this->tokens.fetch_add(aTokens, std::memory_order_relaxed);
  }

  /// Drops all tokens.
  void Clear() { this->tokens.store(0, std::memory_order_relaxed); }

  /// Removes up to a number of tokens. Returns how many were removed.
  std::int64_t Remove(std::int64_t aTokens)
  {
    std::int64_t held = this->tokens.load(std::memory_order_relaxed);
    std::int64_t removed = 0;
    do {
      removed =
        std::clamp<std::int64_t>(aTokens, 0, std::max<std::int64_t>(0, held));
    } while (!this->tokens.compare_exchange_weak(
      held, held - removed, std::memory_order_relaxed));
    return removed;
  }

  std::int64_t Tokens() const
  {
    return this->tokens.load(std::memory_order_relaxed);
  }

  bool IsExpired(TimePoint aNow) const
  {
    return Nanos(aNow) >= this->expiresAt.load(std::memory_order_relaxed);
  }

  /// Refuses calls that find no token, until the given time.
  void Deny(TimePoint aUntil, Duration aRetryAfter)
  {
    this->retryAfter.store(aRetryAfter / 1ns, std::memory_order_relaxed);
    this->deniedUntil.store(Nanos(aUntil), std::memory_order_release);
  }

  /// True if the lender has said that the workspace is at its limit.
  bool IsDenied(TimePoint aNow) const
  {
    return Nanos(aNow) < this->deniedUntil.load(std::memory_order_acquire);
  }

  /// Time after which a refused call may find a token.
  Duration RetryAfter() const
  {
    return std::chrono::nanoseconds(
      this->retryAfter.load(std::memory_order_relaxed));
  }

  /// Returns the calls counted since the last call of this function.
  std::int64_t TakeCalls()
  {
    return this->calls.exchange(0, std::memory_order_relaxed);
  }

  /// Calls that wait for a token.
  std::atomic<std::int64_t> waiting{ 0 };
  /// Calls refused for the limit since they were last logged.
  std::atomic<std::uint64_t> refused{ 0 };

private:
  std::atomic<std::uint32_t> period{ 0 };
  std::atomic<std::int64_t> tokens{ 0 };
  std::atomic<std::int64_t> expiresAt{ 0 };
  std::atomic<std::int64_t> calls{ 0 };
  std::atomic<std::int64_t> deniedUntil{ 0 };
  std::atomic<std::int64_t> retryAfter{ 0 };
};

}
