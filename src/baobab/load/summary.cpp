#include "baobab/load/summary.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>

namespace baobab {
namespace {

double
Quantile(const std::vector<double>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto index =
    static_cast<std::size_t>(aQuantile * static_cast<double>(aSorted.size()));
  return aSorted[std::min(index, aSorted.size() - 1)];
}

double
ToMilliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

std::string
Line(std::string_view aName, double aValue, std::string_view aUnit)
{
  char text[96];
  std::snprintf(text,
                sizeof text,
                "  %-22.*s %12.3f %.*s\n",
                static_cast<int>(aName.size()),
                aName.data(),
                aValue,
                static_cast<int>(aUnit.size()),
                aUnit.data());
  return text;
}

std::string
Line(std::string_view aName, std::uint64_t aValue)
{
  char text[96];
  std::snprintf(text,
                sizeof text,
                "  %-22.*s %12llu\n",
                static_cast<int>(aName.size()),
                aName.data(),
                static_cast<unsigned long long>(aValue));
  return text;
}

}

LatencySummary
Summarise(const std::vector<CallResult>& aResults)
{
  std::vector<double> latencies;
  std::vector<double> lags;
  for (const CallResult& result : aResults) {
    lags.push_back(ToMilliseconds(result.lag));
    if (result.outcome == ReportedOutcome::Answered) {
      latencies.push_back(ToMilliseconds(result.latency));
    }
  }
  std::ranges::sort(latencies);
  std::ranges::sort(lags);
  return { Quantile(latencies, 0.5),  Quantile(latencies, 0.9),
           Quantile(latencies, 0.99), Quantile(latencies, 0.999),
           Quantile(latencies, 1.0),  Quantile(lags, 0.99) };
}

std::string
SummaryTable(const Reconciliation& aTotals, const LatencySummary& aLatency)
{
  return Line("calls", aTotals.calls) + Line("answered", aTotals.answered) +
         Line("not run", aTotals.notRun) + Line("unknown", aTotals.unknown) +
         Line("wrong or partial", aTotals.wrong) +
         Line("doubled", aTotals.doubled) +
         Line("ran after \"not run\"", aTotals.ranAfterNotRun) +
         Line("answered, never ran", aTotals.neverRan) +
         Line("new work after leave", aTotals.newWorkAfterLeave) +
         Line("p50", aLatency.p50, "ms") + Line("p90", aLatency.p90, "ms") +
         Line("p99", aLatency.p99, "ms") + Line("p99.9", aLatency.p999, "ms") +
         Line("max", aLatency.max, "ms") +
         Line("send lag p99", aLatency.lag99, "ms");
}

std::string
SummaryJson(const Reconciliation& aTotals,
            const LatencySummary& aLatency,
            double aSeconds)
{
  const boost::json::object line{
    { "calls", aTotals.calls },
    { "answered", aTotals.answered },
    { "not_run", aTotals.notRun },
    { "unknown", aTotals.unknown },
    { "wrong", aTotals.wrong },
    { "doubled", aTotals.doubled },
    { "ran_after_not_run", aTotals.ranAfterNotRun },
    { "never_ran", aTotals.neverRan },
    { "new_work_after_leave", aTotals.newWorkAfterLeave },
    { "p50_ms", aLatency.p50 },
    { "p90_ms", aLatency.p90 },
    { "p99_ms", aLatency.p99 },
    { "p999_ms", aLatency.p999 },
    { "max_ms", aLatency.max },
    { "lag_p99_ms", aLatency.lag99 },
    { "goodput", static_cast<double>(aTotals.answered) / aSeconds },
  };
  return boost::json::serialize(line);
}

}
