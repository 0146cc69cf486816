#include "baobab/decision/byte_budget.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// The burst is the rate divided by this.
constexpr std::int64_t kBurstDivisor = 4;

}

ByteBudget::ByteBudget(std::int64_t aBytesPerSecond)
  : rate(aBytesPerSecond)
{
}

void
ByteBudget::SetRate(std::int64_t aBytesPerSecond)
{
  this->rate = aBytesPerSecond;
}

bool
ByteBudget::Charge(std::int64_t aBytes, TimePoint aNow)
{
  const std::int64_t bytesPerSecond =
    this->rate.load(std::memory_order_relaxed);
  const std::int64_t burst = bytesPerSecond / kBurstDivisor;
  const std::int64_t refill = bytesPerSecond - burst;
  if (aBytes > burst || refill <= 0) {
    return aBytes == 0;
  }
  const auto timeFor = [&](std::int64_t aCount) {
    return static_cast<std::int64_t>(static_cast<double>(aCount) * 1e9 /
                                     static_cast<double>(refill)) +
           1;
  };
  const std::int64_t now = Nanos(aNow);
  std::int64_t used = this->usedUntil.load(std::memory_order_relaxed);
  while (true) {
    const std::int64_t next = std::max(used, now) + timeFor(aBytes);
    if (next - now > timeFor(burst)) {
      return false;
    }
    if (this->usedUntil.compare_exchange_weak(
          used, next, std::memory_order_relaxed)) {
      this->spent.fetch_add(aBytes, std::memory_order_relaxed);
      return true;
    }
  }
}

std::int64_t
ShareOf(std::int64_t aFleetRate, std::int64_t aDaemons, bool aSettled)
{
  return aSettled ? aFleetRate / std::max<std::int64_t>(aDaemons, 1) : 0;
}

}
