#include "baobab/decision/retry_budget.hpp"

#include <algorithm>

namespace baobab {

RetryShare
ShareOfRetries(double aRatio, std::int64_t aFleetBurst, std::int64_t aDaemons)
{
  // A service receives the retries of its own calls and also the calls that
  // retried calls of the service in front of it make. Each of these two layers
  // therefore gets less than half of the ratio, which leaves room for daemons
  // whose view of the fleet is out of date.
  constexpr double kLayerFraction = 0.4;
  constexpr std::int64_t kLayers = 2;
  const std::int64_t burst = aFleetBurst / kLayers;
  const std::int64_t minimum = std::min<std::int64_t>(1, burst);
  return { aRatio * kLayerFraction,
           std::max(minimum, burst / std::max<std::int64_t>(1, aDaemons)) };
}

RetryBudget::RetryBudget(double aRatio, std::int64_t aBurst)
  : gainPerAttempt(static_cast<std::int64_t>(aRatio * kToken))
  , capacity(aBurst * kToken)
  , tokens(aBurst * kToken)
{
}

void
RetryBudget::Configure(double aRatio, std::int64_t aBurst)
{
  this->gainPerAttempt = static_cast<std::int64_t>(aRatio * kToken);
  this->capacity = aBurst * kToken;
}

void
RetryBudget::Earn()
{
  const std::int64_t maxTokens = this->capacity.load(std::memory_order_relaxed);
  const std::int64_t gained =
    this->gainPerAttempt.load(std::memory_order_relaxed);
  std::int64_t available = this->tokens.load(std::memory_order_relaxed);
  while (
    !this->tokens.compare_exchange_weak(available,
                                        std::min(maxTokens, available + gained),
                                        std::memory_order_relaxed)) {
  }
}

std::optional<SendPermit>
RetryBudget::Spend()
{
  std::int64_t available = this->tokens.load(std::memory_order_relaxed);
  while (available >= kToken) {
    if (this->tokens.compare_exchange_weak(
          available, available - kToken, std::memory_order_relaxed)) {
      return SendPermit{};
    }
  }
  this->denied.fetch_add(1, std::memory_order_relaxed);
  return std::nullopt;
}

}
