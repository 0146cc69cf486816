#include "baobab/node/load_reporter.hpp"

#include "baobab/net/clock.hpp"

#include <algorithm>
#include <cstdlib>

namespace baobab {
namespace {

/// Bytes that a load report adds to a message, and bytes of a separate update.
constexpr std::int64_t kReportBytes = 12;
constexpr std::int64_t kUpdateBytes = 72;

/// Shortest time between a report and the next update on a connection.
constexpr Duration kUpdatePause = 20ms;

/// The load is sent as a separate update if the number of calls has changed by
/// more than the number of slots divided by this.
constexpr int kUpdateDivisor = 4;

/// Change of the host's slowness that is significant, in percent of the lower
/// of the two values.
constexpr int kSlownessChangePercent = 30;

/// Time for which a report is not repeated if the load has hardly changed.
constexpr Duration kReportLifetime = 100ms;

/// The load is reported with the next message if the number of calls has
/// changed by more than the number of slots divided by this.
constexpr int kReportDivisor = 10;

/// True if the slowness of the host has changed significantly.
bool
SlownessChanged(const LoadReport& aBefore, const LoadReport& aReport)
{
  constexpr int kPercent = 100;
  const int change = std::abs(aReport.slowness - aBefore.slowness);
  return change * kPercent >
         kSlownessChangePercent * std::min(aReport.slowness, aBefore.slowness);
}

/// Difference in the number of running and queued calls.
int
CallCountChange(const LoadReport& aBefore, const LoadReport& aReport)
{
  return std::abs((aReport.running + aReport.queued) -
                  (aBefore.running + aBefore.queued));
}

/// True if the change of the load warrants a separate update.
bool
WarrantsUpdate(const LoadReport& aBefore, const LoadReport& aReport)
{
  return SlownessChanged(aBefore, aReport) ||
         CallCountChange(aBefore, aReport) * kUpdateDivisor > aReport.slots;
}

/// True if the last report on a connection is recent and hardly differs.
bool
IsStillAccurate(const SenderConnection& aConnection, const LoadReport& aReport)
{
  const LoadReport& before = aConnection.lastReport;
  return Now() - aConnection.lastReportAt < kReportLifetime &&
         aReport.slots == before.slots && !SlownessChanged(before, aReport) &&
         CallCountChange(before, aReport) * kReportDivisor <= aReport.slots;
}

/// Charges a report to the service's measuring budgets; returns false if it
/// does not fit.
bool
Charge(const SenderConnection& aConnection,
       std::int64_t aBytes,
       ServiceState& aState)
{
  if (aConnection.crossRegion &&
      !aState.crossRegionMeasurementBudget.Charge(aBytes, Now())) {
    return false;
  }
  return aState.measurementBudget.Charge(aBytes, Now());
}

void
RecordReport(SenderConnection& aConnection, const LoadReport& aReport)
{
  aConnection.lastReport = aReport;
  aConnection.lastReportAt = Now();
}

}

std::optional<LoadReport>
LoadReporter::PiggybackReport(SenderConnection& aConnection,
                              const LoadReport& aReport,
                              ServiceState& aState)
{
  if (IsStillAccurate(aConnection, aReport) ||
      !Charge(aConnection, kReportBytes, aState)) {
    return std::nullopt;
  }
  RecordReport(aConnection, aReport);
  return aReport;
}

void
LoadReporter::Broadcast(const LoadReport& aReport, ServiceState& aState)
{
  const TimePoint now = Now();
  for (auto& [sender, connection] : this->senders) {
    const bool due = now - connection.lastCallAt < kLoadUpdateWindow &&
                     now - connection.lastReportAt >= kUpdatePause;
    if (due && WarrantsUpdate(connection.lastReport, aReport) &&
        Charge(connection, kUpdateBytes, aState)) {
      RecordReport(connection, aReport);
      connection.frames->Send(LoadUpdateMessage{ aReport });
    }
  }
}

}
