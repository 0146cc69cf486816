#include "baobab/node/daemon_metrics.hpp"

#include <string>
#include <sys/resource.h>

namespace baobab {
namespace {

double
CpuSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kSecondsPerMicrosecond = 1e-6;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         kSecondsPerMicrosecond *
           static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

void
AddDrops(MetricsPage& aPage, std::string_view aName, const DropCounter& aDrops)
{
  for (const auto& [reason, drops] : aDrops.Reasons()) {
    aPage.Add(
      aName, "reason=\"" + reason + "\"", static_cast<double>(drops.total));
  }
}

void
AddBudgetMetrics(MetricsPage& aPage, const ServiceRoute& aRoute)
{
  const std::string label =
    "service=\"" + aRoute.service->spec.name + "\",budget=\"";
  const auto add = [&](std::string_view aName, const ByteBudget& aBudget) {
    const std::string labels = label + std::string(aName) + "\"";
    aPage.Add(
      "budget_spent_bytes_total", labels, static_cast<double>(aBudget.Spent()));
    aPage.Add("budget_allowed_bytes_per_second",
              labels,
              static_cast<double>(aBudget.Rate()));
  };
  add("measuring", aRoute.state->measurementBudget);
  add("measuring_across", aRoute.state->crossRegionMeasurementBudget);
  add("spill", aRoute.state->crossRegionCallBudget);
}

}

void
AddControlMetrics(MetricsPage& aPage, const ControlStats& aStats)
{
  const auto add = [&](std::string_view aName, auto aValue) {
    aPage.Add(aName, "", static_cast<double>(aValue));
  };
  const GossipCounts& counts = aStats.gossip;
  add("generation", aStats.generation);
  add("config_reader", aStats.reader ? 1 : 0);
  if (aStats.confirmation) {
    add("config_confirmed_age_seconds",
        std::chrono::duration<double>(aStats.confirmation->age).count());
  }
  add("members", aStats.members.Size());
  add("address_conflicts_total", aStats.members.AddressConflicts());
  add("gossip_sent_total", counts.sent);
  add("gossip_sent_bytes_total", counts.sentBytes);
  add("gossip_received_total", counts.received);
  add("gossip_received_bytes_total", counts.receivedBytes);
  add("gossip_invalid_total", counts.refused.Total());
  add("gossip_left_out_total", counts.unsent.Total());
  AddDrops(aPage, "gossip_refused_total", counts.refused);
  AddDrops(aPage, "gossip_unsent_total", counts.unsent);
  add("gossip_exchanges_total", counts.exchanges);
  add("control_spent_bytes_total", aStats.controlBytes);
  add("store_calls_total", aStats.storeCalls);
  add("target_running", aStats.target.running);
  add("target_queued", aStats.target.queued);
  add("target_slots", aStats.target.slots);
  add("target_slowness_percent", aStats.target.slowness);
  add("evacuated_zones", aStats.evacuatedZones);
  add("target_cold", aStats.targetCold ? 1 : 0);
  const CallerConnectionCounts& callers = aStats.callerConnections;
  add("caller_connections", callers.open);
  add("caller_connections_bound", callers.bound);
  add("caller_connections_total", callers.accepted);
  add("caller_connections_closed_for_room_total", callers.gaveWay);
  add("caller_connections_refused_total", callers.refused);
  aPage.AddHistogram("timer_delay_seconds", "", aStats.timerDelays);
  add("suspects", aStats.suspects);
  add("process_cpu_seconds_total", CpuSeconds());
}

void
AddQuotaMetrics(MetricsPage& aPage, QuotaAgent& aQuotas, const QuotaGate& aGate)
{
  const auto add =
    [&](std::string_view aName, std::string_view aLabels, auto aValue) {
      aPage.Add(aName, aLabels, static_cast<double>(aValue));
    };
  const QuotaCounts& counts = aQuotas.Counts();
  add("quota_refused_total", "reason=\"over_quota\"", aGate.OverQuotaCalls());
  add("quota_refused_total", "reason=\"no_lender\"", aGate.NoLenderCalls());
  add("quota_lender", "", aQuotas.Lends() ? 1 : 0);
  add("quota_lent_tokens", "", aQuotas.Lent());
  add("quota_held_tokens", "", aQuotas.Held());
  add("quota_sent_total", "", counts.sent);
  add("quota_sent_bytes_total", "", counts.sentBytes);
  add("quota_received_total", "", counts.received);
  AddDrops(aPage, "quota_invalid_total", counts.refused);
}

void
AddRouteMetrics(MetricsPage& aPage, const RouteTable& aTable)
{
  aPage.Add("routable_targets", "", static_cast<double>(aTable.TargetCount()));
  for (const auto& route : aTable.serviceRoutes) {
    AddBudgetMetrics(aPage, *route);
  }
}

}
