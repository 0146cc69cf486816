#include "baobab/node/load_reporter.hpp"

#include "baobab/net/clock.hpp"

#include <algorithm>
#include <cstdlib>

namespace baobab {
namespace {

/// Bytes that a load report adds to a message, and of one on its own.
constexpr std::int64_t kReportBytes = 12;
constexpr std::int64_t kNewsBytes = 72;

/// Shortest time between two pieces of news on a connection.
constexpr Duration kNewsPause = 20ms;

/// Change of the load that is news on its own, as a part of the slots.
constexpr int kNewsChange = 4;

/// Change of the host's slowness that is news, in percent of itself.
constexpr int kSlownessChange = 30;

/// Time for which a report is not repeated while it is about true.
constexpr Duration kReportPause = 100ms;

/// Change of the load that is reported at once, as a part of the slots.
constexpr int kReportedChange = 10;

/// True if the host has turned notably slower or faster.
bool
SlownessChanged(const LoadReport& aBefore, const LoadReport& aReport)
{
  constexpr int kPercent = 100;
  const int change = std::abs(aReport.slowness - aBefore.slowness);
  return change * kPercent >
         kSlownessChange * std::min(aReport.slowness, aBefore.slowness);
}

/// Change of the calls that run or wait.
int
ChangeOf(const LoadReport& aBefore, const LoadReport& aReport)
{
  return std::abs((aReport.running + aReport.queued) -
                  (aBefore.running + aBefore.queued));
}

/// True if a change of the load is worth a message of its own.
bool
IsNews(const LoadReport& aBefore, const LoadReport& aReport)
{
  return SlownessChanged(aBefore, aReport) ||
         ChangeOf(aBefore, aReport) * kNewsChange > aReport.slots;
}

/// True if the last report on a connection still says about the same.
bool
IsStillTrue(const SenderConnection& aConnection, const LoadReport& aReport)
{
  const LoadReport& before = aConnection.reported;
  return Now() - aConnection.reportedAt < kReportPause &&
         aReport.slots == before.slots && !SlownessChanged(before, aReport) &&
         ChangeOf(before, aReport) * kReportedChange <= aReport.slots;
}

/// Charges a report to the service's measuring budgets.
bool
Charge(const SenderConnection& aConnection,
       std::int64_t aBytes,
       ServiceState& aState)
{
  if (aConnection.across && !aState.measuringAcross.Charge(aBytes, Now())) {
    return false;
  }
  return aState.measuring.Charge(aBytes, Now());
}

void
NoteReported(SenderConnection& aConnection, const LoadReport& aReport)
{
  aConnection.reported = aReport;
  aConnection.reportedAt = Now();
}

}

std::optional<LoadReport>
LoadReporter::PiggybackReport(SenderConnection& aConnection,
                              const LoadReport& aReport,
                              ServiceState& aState)
{
  if (IsStillTrue(aConnection, aReport) ||
      !Charge(aConnection, kReportBytes, aState)) {
    return std::nullopt;
  }
  NoteReported(aConnection, aReport);
  return aReport;
}

void
LoadReporter::Broadcast(const LoadReport& aReport, ServiceState& aState)
{
  const TimePoint now = Now();
  for (auto& [sender, connection] : this->senders) {
    const bool due = now - connection.lastCall < kLoadUpdateWindow &&
                     now - connection.reportedAt >= kNewsPause;
    if (due && IsNews(connection.reported, aReport) &&
        Charge(connection, kNewsBytes, aState)) {
      NoteReported(connection, aReport);
      connection.frames->Send(LoadNewsMessage{ aReport });
    }
  }
}

}
