/// @file
#pragma once

#include "baobab/core/load_report.hpp"
#include "baobab/decision/membership.hpp"
#include "baobab/decision/store_freshness.hpp"
#include "baobab/node/caller_connection_counts.hpp"
#include "baobab/node/gossip_agent.hpp"
#include "baobab/node/metrics.hpp"
#include "baobab/node/quota_agent.hpp"
#include "baobab/node/route_table.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace baobab {

/// Statistics of a daemon's control thread.
struct ControlStats
{
  std::uint64_t generation = 0;
  bool reader = false;
  std::optional<ConfirmationAge> confirmation;
  std::uint64_t storeCalls = 0;
  std::int64_t controlBytes = 0;
  std::size_t suspects = 0;
  const GossipCounts& gossip;
  LoadReport target;
  bool targetCold = false;
  std::size_t evacuatedZones = 0;
  const Membership& members;
  CallerConnectionCounts callerConnections;
  /// Delays of the control thread's timer beyond its due time.
  const LatencyHistogram& timerDelays;
};

void AddControlMetrics(MetricsPage& aPage, const ControlStats& aStats);

/// Adds the totals of all quotas.
void AddQuotaMetrics(MetricsPage& aPage,
                     QuotaAgent& aQuotas,
                     const QuotaGate& aGate);

/// Adds the number of routable targets and the budgets of each service.
void AddRouteMetrics(MetricsPage& aPage, const RouteTable& aTable);

}
