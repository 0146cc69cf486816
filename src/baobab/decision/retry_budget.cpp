#include "baobab/decision/retry_budget.hpp"

#include <algorithm>

namespace baobab {

RetryShare
ShareOfRetries(double aRatio, std::int64_t aFleetBurst, std::int64_t aDaemons)
{
  // Calls that a repeated call makes are repeats as well: at a service that is
  // called by another one, the retries of both meet. Part of the ratio that
  // one layer may use, with some room for views of the fleet that lag.
  constexpr double kLayerPart = 0.4;
  constexpr std::int64_t kLayers = 2;
  const std::int64_t burst = aFleetBurst / kLayers;
  const std::int64_t least = std::min<std::int64_t>(1, burst);
  return { aRatio * kLayerPart,
           std::max(least, burst / std::max<std::int64_t>(1, aDaemons)) };
}

RetryBudget::RetryBudget(double aRatio, std::int64_t aBurst)
  : earned(static_cast<std::int64_t>(aRatio * kToken))
  , limit(aBurst * kToken)
  , tokens(aBurst * kToken)
{
}

void
RetryBudget::Configure(double aRatio, std::int64_t aBurst)
{
  this->earned = static_cast<std::int64_t>(aRatio * kToken);
  this->limit = aBurst * kToken;
}

void
RetryBudget::Earn()
{
  const std::int64_t most = this->limit.load(std::memory_order_relaxed);
  const std::int64_t gain = this->earned.load(std::memory_order_relaxed);
  std::int64_t now = this->tokens.load(std::memory_order_relaxed);
  while (!this->tokens.compare_exchange_weak(
    now, std::min(most, now + gain), std::memory_order_relaxed)) {
  }
}

bool
RetryBudget::Spend()
{
  std::int64_t now = this->tokens.load(std::memory_order_relaxed);
  while (now >= kToken) {
    if (this->tokens.compare_exchange_weak(
          now, now - kToken, std::memory_order_relaxed)) {
      return true;
    }
  }
  this->denied.fetch_add(1, std::memory_order_relaxed);
  return false;
}

}
