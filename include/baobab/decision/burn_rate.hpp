/// @file
/// Burn of a service's error budget.
#pragma once

#include "baobab/core/service.hpp"
#include "baobab/decision/burn_series.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace baobab {

/// How urgent the burn is.
enum class BurnAlert : std::uint8_t
{
  None,
  /// Lasting burn; look at it within days.
  Ticket,
  /// The budget is gone within hours.
  Page,
};

std::string_view Name(BurnAlert aAlert);

/// Spans over which burn is shown.
constexpr std::array<std::chrono::seconds, 4> kBurnSpans = {
  std::chrono::minutes(5),
  std::chrono::hours(1),
  std::chrono::hours(6),
  std::chrono::hours(72),
};

struct BurnSummary
{
  /// Burn over each of kBurnSpans; 1 uses the budget up exactly in its window.
  std::array<double, kBurnSpans.size()> rates{};
  /// Fraction of the window's budget that is left; negative if overspent.
  double budgetLeft = 1;
  BurnAlert alert = BurnAlert::None;
};

/// Computes burn and alert by two windows each: a long one that shows that it
/// matters, and a short one that shows that it still goes on.
BurnSummary SummariseBurn(const BurnSeries& aSeries,
                          const ObjectiveSpec& aObjective,
                          StatusTime aNow);

}
