/// @file
#pragma once

#include "baobab/decision/key_lease.hpp"

#include <atomic>

namespace baobab {

/// The proof of this daemon, for the workers that serve callers.
class LeaseCell
{
public:
  /// Replaces the proof by a later one, whose generation is not lower.
  void Set(const LeaseProof& aProof)
  {
    this->generation.store(aProof.generation, std::memory_order_relaxed);
    this->askedAt.store(aProof.askedAt.time_since_epoch() / 1ns,
                        std::memory_order_release);
  }

  /// Returns the proof. Its generation may be that of a later proof, with which
  /// fewer configurations are proven.
  LeaseProof Get() const
  {
    const std::int64_t time = this->askedAt.load(std::memory_order_acquire);
    return { this->generation.load(std::memory_order_relaxed),
             BootTime(std::chrono::nanoseconds(time)) };
  }

private:
  std::atomic<std::uint64_t> generation{ 0 };
  /// Before the first proof longer ago than any revocation time.
  std::atomic<std::int64_t> askedAt{ BootTime(-24h).time_since_epoch() / 1ns };
};

}
