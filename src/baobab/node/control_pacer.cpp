#include "baobab/node/control_pacer.hpp"
#include "baobab/net/clock.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace baobab {
namespace {

constexpr Duration kRetryPause = 20ms;

/// Spend() charges at most the bytes of one second divided by this at once.
constexpr std::int64_t kChunkDivisor = 16;

/// Time over which unused bytes of the configuration budget accumulate.
constexpr Duration kAccumulationTime = 60s;

}

ControlPacer::ControlPacer(std::int64_t aBytesPerSecond)
  : budget(aBytesPerSecond)
  , configurationBudget(aBytesPerSecond, kAccumulationTime, Now())
{
}

bool
ControlPacer::TrySpend(std::size_t aBytes)
{
  return this->budget.Charge(static_cast<std::int64_t>(aBytes), Now());
}

void
ControlPacer::Spend(std::size_t aBytes)
{
  auto remaining = static_cast<std::int64_t>(aBytes);
  const std::int64_t maxChunk =
    std::max<std::int64_t>(1, this->budget.Rate() / kChunkDivisor);
  while (remaining > 0) {
    const std::int64_t chunk = std::min(remaining, maxChunk);
    if (this->budget.Charge(chunk, Now())) {
      remaining -= chunk;
    } else {
      boost::this_fiber::sleep_for(kRetryPause);
    }
  }
}

void
ControlPacer::SpendOnConfiguration(std::size_t aBytes)
{
  const auto bytes = static_cast<std::int64_t>(aBytes);
  while (!this->configurationBudget.Charge(bytes, Now())) {
    boost::this_fiber::sleep_for(kRetryPause);
  }
  this->configurationSpent += bytes;
}

}
