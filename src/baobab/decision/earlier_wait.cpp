#include "baobab/decision/earlier_wait.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// The typical time is this quantile of the times that callers allow.
constexpr double kQuantile = 0.75;

/// Relative step of the quantile's estimate.
constexpr double kStep = 1.0 / 64;

/// A call that allows less than this part of the typical time is a return. The
/// times of first attempts differ by less.
constexpr double kReturnFraction = 0.75;

/// Failures whose callers are expected back at most.
constexpr std::int32_t kMaxReturns = 1024;

}

Duration
EarlierWait::Observe(Duration aRemaining, TimePoint aNow)
{
  const auto remaining = static_cast<double>(aRemaining / 1ns);
  const auto before =
    static_cast<double>(this->typical.load(std::memory_order_relaxed));
  if (before == 0) {
    this->typical.store(aRemaining / 1ns, std::memory_order_relaxed);
    return Duration::zero();
  }
  const double step =
    before * kStep * (remaining > before ? kQuantile : kQuantile - 1);
  this->typical.store(
    std::max<std::int64_t>(1, static_cast<std::int64_t>(before + step)),
    std::memory_order_relaxed);
  const bool isReturn =
    remaining < before * kReturnFraction && this->TakeReturn(aNow);
  return isReturn ? Duration(std::chrono::nanoseconds(
                      static_cast<std::int64_t>(before - remaining)))
                  : Duration::zero();
}

void
EarlierWait::RecordFailure(TimePoint aNow)
{
  this->lastFailureAt.store(Nanos(aNow), std::memory_order_relaxed);
  if (this->expectedReturns.load(std::memory_order_relaxed) < kMaxReturns) {
    this->expectedReturns.fetch_add(1, std::memory_order_relaxed);
  }
}

bool
EarlierWait::TakeReturn(TimePoint aNow)
{
  const std::int64_t age =
    Nanos(aNow) - this->lastFailureAt.load(std::memory_order_relaxed);
  if (age > this->typical.load(std::memory_order_relaxed)) {
    this->expectedReturns.store(0, std::memory_order_relaxed);
    return false;
  }
  std::int32_t count = this->expectedReturns.load(std::memory_order_relaxed);
  while (count > 0) {
    if (this->expectedReturns.compare_exchange_weak(
          count, count - 1, std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}
