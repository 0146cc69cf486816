/// @file
/// Rate at which a service uses up its error budget.
#pragma once

#include "baobab/core/service.hpp"
#include "baobab/decision/burn_series.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace baobab {

/// Urgency of the current burn rate.
enum class BurnAlert : std::uint8_t
{
  None,
  /// Persistent; needs attention within days.
  Ticket,
  /// Uses a large part of the budget within hours; needs attention at once.
  Page,
};

/// Returns the name of an alert on the status page and in status objects.
std::string_view Name(BurnAlert aAlert);

/// Spans of time over which the burn rate is computed.
constexpr std::array<std::chrono::seconds, 4> kBurnSpans = {
  std::chrono::minutes(5),
  std::chrono::hours(1),
  std::chrono::hours(6),
  std::chrono::hours(72),
};

struct BurnSummary
{
  /// Burn rate over each of kBurnSpans. At 1 the budget lasts exactly for the
  /// objective's window.
  std::array<double, kBurnSpans.size()> rates{};
  /// Fraction of the window's budget that is left; negative if exceeded.
  double budgetLeft = 1;
  BurnAlert alert = BurnAlert::None;
};

/// Computes the burn rates and the alert. Each alert needs a high rate over two
/// spans: over the long one, because a short peak uses little of the budget,
/// and over the short one, because a problem that is over needs no alert.
BurnSummary SummariseBurn(const BurnSeries& aSeries,
                          const ObjectiveSpec& aObjective,
                          StatusTime aNow);

}
