#include "baobab/node/control_pacer.hpp"
#include "baobab/net/clock.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace baobab {
namespace {

constexpr Duration kPause = 20ms;

/// Part of a second's bytes that is charged at once at most, as a divisor.
constexpr std::int64_t kPiecePart = 16;

/// Time for which unused bytes for configurations are saved.
constexpr Duration kSavedTime = 60s;

}

ControlPacer::ControlPacer(std::int64_t aBytesPerSecond)
  : budget(aBytesPerSecond)
  , configuration(aBytesPerSecond, kSavedTime, Now())
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
  auto left = static_cast<std::int64_t>(aBytes);
  const std::int64_t most =
    std::max<std::int64_t>(1, this->budget.Rate() / kPiecePart);
  while (left > 0) {
    const std::int64_t piece = std::min(left, most);
    if (this->budget.Charge(piece, Now())) {
      left -= piece;
    } else {
      boost::this_fiber::sleep_for(kPause);
    }
  }
}

void
ControlPacer::SpendOnConfiguration(std::size_t aBytes)
{
  const auto bytes = static_cast<std::int64_t>(aBytes);
  while (!this->configuration.Charge(bytes, Now())) {
    boost::this_fiber::sleep_for(kPause);
  }
  this->configurationSpent += bytes;
}

}
