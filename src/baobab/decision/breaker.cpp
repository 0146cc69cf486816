#include "baobab/decision/breaker.hpp"

namespace baobab {
bool
Breaker::IsOpen(TimePoint aNow) const
{
  return this->openUntil.load(std::memory_order_relaxed) > Nanos(aNow);
}

bool
Breaker::TryAttempt(TimePoint aNow)
{
  std::int64_t until = this->openUntil.load(std::memory_order_relaxed);
  if (until == 0) {
    return true;
  }
  if (until > Nanos(aNow)) {
    return false;
  }
  // Only the attempt whose exchange succeeds is the probe; the breaker stays
  // open for all others meanwhile.
  return this->openUntil.compare_exchange_strong(until,
                                                 Nanos(aNow + kOpenTime));
}

void
Breaker::RecordSuccess()
{
  if (this->failures.load(std::memory_order_relaxed) != 0) {
    this->failures = 0;
  }
  if (this->openUntil.load(std::memory_order_relaxed) != 0) {
    this->openUntil = 0;
  }
}

void
Breaker::RecordFailure(TimePoint aNow)
{
  const std::int32_t count = this->failures.fetch_add(1) + 1;
  if (count >= kFailuresToOpen) {
    this->openUntil = Nanos(aNow + kOpenTime);
  }
}

void
Breaker::OpenFor(TimePoint aNow, Duration aTime)
{
  this->openUntil = Nanos(aNow + aTime);
}

}
