#include "baobab/decision/burn_rate.hpp"

namespace baobab {
namespace {

/// Burn rate that uses 2% of a 28-day budget within an hour.
constexpr double kPageBurnRate = 14.4;
/// Burn rate that uses up the budget within the objective's window.
constexpr double kTicketBurnRate = 1;

/// Fraction of calls that may be bad: calls that fail and calls that are
/// answered too late.
double
AllowedFraction(const ObjectiveSpec& aObjective)
{
  return (1 - aObjective.availability) + (1 - aObjective.latencyQuantile);
}

double
BadFraction(const BurnCount& aCount)
{
  return aCount.Total() == 0 ? 0
                             : static_cast<double>(aCount.bad) /
                                 static_cast<double>(aCount.Total());
}

}

std::string_view
Name(BurnAlert aAlert)
{
  switch (aAlert) {
    case BurnAlert::None:
      return "ok";
    case BurnAlert::Ticket:
      return "ticket";
    case BurnAlert::Page:
      break;
  }
  return "page";
}

BurnSummary
SummariseBurn(const BurnSeries& aSeries,
              const ObjectiveSpec& aObjective,
              StatusTime aNow)
{
  const double allowed = AllowedFraction(aObjective);
  BurnSummary summary;
  for (std::size_t i = 0; i < kBurnSpans.size(); ++i) {
    summary.rates[i] = BadFraction(aSeries.Last(kBurnSpans[i], aNow)) / allowed;
  }
  const auto window = std::chrono::hours(24) * aObjective.windowDays;
  summary.budgetLeft = 1 - BadFraction(aSeries.Last(window, aNow)) / allowed;
  const auto& [fiveMinutes, oneHour, sixHours, threeDays] = summary.rates;
  if (oneHour >= kPageBurnRate && fiveMinutes >= kPageBurnRate) {
    summary.alert = BurnAlert::Page;
  } else if (threeDays >= kTicketBurnRate && sixHours >= kTicketBurnRate) {
    summary.alert = BurnAlert::Ticket;
  }
  return summary;
}

}
