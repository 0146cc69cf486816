/// @file
#pragma once

#include <atomic>
#include <cstdint>

namespace baobab {

/// What one daemon may spend on retries of a service.
struct RetryShare
{
  double ratio = 0;
  std::int64_t burst = 0;
};

/// Divides the retries that a fleet may make among its daemons.
/// @param aRatio retries that each first attempt earns, over the whole fleet
/// @param aFleetBurst retries that the fleet may save up
RetryShare ShareOfRetries(double aRatio,
                          std::int64_t aFleetBurst,
                          std::int64_t aDaemons);

/// Token bucket that first attempts fill and retries empty. Lock-free.
class RetryBudget
{
public:
  /// @param aRatio retries that each first attempt earns
  /// @param aBurst retries that may be saved up; the bucket starts full
  RetryBudget(double aRatio, std::int64_t aBurst);

  /// Takes over new limits and keeps what was saved, up to the new burst.
  void Configure(double aRatio, std::int64_t aBurst);

  /// Counts a first attempt.
  void Earn();

  /// Takes one retry. Returns false if none is left.
  bool Spend();

  /// Returns how many retries were denied since the last call.
  std::uint64_t TakeDenied() { return this->denied.exchange(0); }

private:
  static constexpr std::int64_t kToken = 1000000;

  std::atomic<std::int64_t> earned;
  std::atomic<std::int64_t> limit;
  std::atomic<std::int64_t> tokens;
  std::atomic<std::uint64_t> denied{ 0 };
};

}
