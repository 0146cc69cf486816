#include "baobab/load/reconcile.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <unordered_map>

namespace baobab {
namespace {

/// Stands in place of a call ID when a target starts to leave.
constexpr std::string_view kLeaveMarker = "#leave";

}

TargetRecord
ParseRecord(std::string_view aText, std::string_view aPrefix)
{
  TargetRecord record;
  std::istringstream lines{ std::string(aText) };
  std::string call;
  RunRecord run;
  std::int64_t at = 0;
  while (lines >> call >> run.target >> at) {
    run.at = std::chrono::milliseconds(at);
    run.number = 0;
    if (call == kLeaveMarker) {
      record.leaves.push_back(run);
    } else if (call.starts_with(aPrefix)) {
      const char* end = call.data() + call.size();
      std::from_chars(call.data() + aPrefix.size(), end, run.number);
      record.runs.push_back(run);
    }
  }
  return record;
}

Reconciliation
Reconcile(const std::vector<CallResult>& aResults,
          const TargetRecord& aRecord,
          std::chrono::milliseconds aGrace,
          bool aHasRecord)
{
  std::unordered_map<std::uint64_t, std::uint64_t> runs;
  for (const RunRecord& run : aRecord.runs) {
    ++runs[run.number];
  }
  Reconciliation totals;
  totals.calls = aResults.size();
  for (const CallResult& result : aResults) {
    const auto found = runs.find(result.number);
    const std::uint64_t runCount = found == runs.end() ? 0 : found->second;
    totals.answered += result.outcome == ReportedOutcome::Answered ? 1 : 0;
    totals.notRun += result.outcome == ReportedOutcome::NotRun ? 1 : 0;
    totals.unknown += result.outcome == ReportedOutcome::Unknown ? 1 : 0;
    totals.wrong += result.outcome == ReportedOutcome::Wrong ? 1 : 0;
    totals.doubled += !result.idempotent && runCount > 1 ? 1 : 0;
    totals.ranAfterNotRun +=
      result.outcome == ReportedOutcome::NotRun && runCount > 0 ? 1 : 0;
    totals.neverRan +=
      aHasRecord && result.outcome == ReportedOutcome::Answered && runCount == 0
        ? 1
        : 0;
  }
  for (const RunRecord& leave : aRecord.leaves) {
    totals.newWorkAfterLeave += static_cast<std::uint64_t>(
      std::ranges::count_if(aRecord.runs, [&](const RunRecord& aRun) {
        return aRun.target == leave.target && aRun.at > leave.at + aGrace;
      }));
  }
  return totals;
}

}
