#include "baobab/decision/outflow_window.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Widening of the window for each window of calls that end in time.
constexpr double kIncrease = 0.25;

constexpr double kReduction = 0.7;

}

void
OutflowWindow::End(OutflowResult aResult, TimePoint aNow)
{
  const std::int32_t sent =
    this->inFlight.fetch_sub(1, std::memory_order_relaxed);
  const double before = this->limit.load(std::memory_order_relaxed);
  if (aResult == OutflowResult::Unrelated) {
    return;
  }
  if (aResult == OutflowResult::InTime) {
    // A window that is not used shows nothing about a wider one.
    if (2 * sent >= before) {
      this->limit.store(std::min(kMaxLimit, before + kIncrease / before),
                        std::memory_order_relaxed);
    }
    this->pause.store(kMinPause / 1ns, std::memory_order_relaxed);
    return;
  }
  // Calls that were sent together count once.
  if (Nanos(aNow) < this->closedUntil.load(std::memory_order_relaxed)) {
    return;
  }
  const std::int64_t paused = this->pause.load(std::memory_order_relaxed);
  this->closedUntil.store(Nanos(aNow) + paused, std::memory_order_relaxed);
  if (before > kMinLimit) {
    this->limit.store(std::max(kMinLimit, before * kReduction),
                      std::memory_order_relaxed);
  } else {
    this->pause.store(std::min<std::int64_t>(kMaxPause / 1ns, 2 * paused),
                      std::memory_order_relaxed);
  }
}

}
