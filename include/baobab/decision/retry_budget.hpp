/// @file
#pragma once

#include "baobab/decision/send_permit.hpp"

#include <atomic>
#include <cstdint>
#include <optional>

namespace baobab {

/// Retries of a service that one daemon may make.
struct RetryShare
{
  /// Retries that each first attempt earns.
  double ratio = 0;
  /// Retries that can be saved up.
  std::int64_t burst = 0;
};

/// Returns one daemon's share of the retries that the fleet may make.
/// @param aRatio retries that each first attempt earns, over the whole fleet
/// @param aFleetBurst retries that the fleet can save up
/// @param aDaemons daemons in the fleet
RetryShare ShareOfRetries(double aRatio,
                          std::int64_t aFleetBurst,
                          std::int64_t aDaemons);

/// Token bucket that first attempts fill and retries drain. Lock-free.
class RetryBudget
{
public:
  /// @param aRatio retries that each first attempt earns
  /// @param aBurst retries that can be saved up; the bucket starts full
  RetryBudget(double aRatio, std::int64_t aBurst);

  /// Changes the limits. Saved retries above the new burst are lost with the
  /// next first attempt.
  void Configure(double aRatio, std::int64_t aBurst);

  /// Counts a first attempt.
  void Earn();

  /// Takes one retry. Returns nothing, and counts a denial, if none is left.
  [[nodiscard]] std::optional<SendPermit> Spend();

  /// Returns how many retries were denied since the last call of this function.
  std::uint64_t TakeDenied() { return this->denied.exchange(0); }

private:
  /// Units of the counters below for one retry.
  static constexpr std::int64_t kToken = 1000000;

  std::atomic<std::int64_t> gainPerAttempt;
  std::atomic<std::int64_t> capacity;
  std::atomic<std::int64_t> tokens;
  std::atomic<std::uint64_t> denied{ 0 };
};

}
