/// @file
/// Summaries of an experiment as text and JSON.
#pragma once

#include "baobab/load/call_result.hpp"
#include "baobab/load/reconcile.hpp"

#include <string>
#include <vector>

namespace baobab {

/// Latencies of the answered calls in milliseconds.
struct LatencySummary
{
  double p50 = 0;
  double p90 = 0;
  double p99 = 0;
  double p999 = 0;
  double max = 0;
  /// 99th percentile of CallResult::lag over all calls.
  double lag99 = 0;
};

/// Computes the quantiles of the latencies.
LatencySummary Summarise(const std::vector<CallResult>& aResults);

/// Formats a summary as text for a terminal.
std::string SummaryTable(const Reconciliation& aTotals,
                         const LatencySummary& aLatency);

/// Formats a summary as one line of JSON.
/// @param aSeconds duration of the experiment
std::string SummaryJson(const Reconciliation& aTotals,
                        const LatencySummary& aLatency,
                        double aSeconds);

}
