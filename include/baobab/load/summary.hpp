/// @file
/// Summaries of an experiment for people and programs.
#pragma once

#include "baobab/load/call_result.hpp"
#include "baobab/load/reconcile.hpp"

#include <string>
#include <vector>

namespace baobab {

/// Latencies of the answered calls.
struct LatencySummary
{
  double p50 = 0;
  double p90 = 0;
  double p99 = 0;
  double p999 = 0;
  double max = 0;
  /// 99th percentile of how late calls were sent.
  double lag99 = 0;
};

/// Quantiles in milliseconds.
LatencySummary Summarise(const std::vector<CallResult>& aResults);

/// Table for a terminal.
std::string SummaryTable(const Reconciliation& aTotals,
                         const LatencySummary& aLatency);

/// One line of JSON.
std::string SummaryJson(const Reconciliation& aTotals,
                        const LatencySummary& aLatency,
                        double aSeconds);

}
