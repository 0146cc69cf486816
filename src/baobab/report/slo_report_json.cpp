#include "baobab/report/slo_report.hpp"

#include <boost/json.hpp>

namespace baobab {
namespace {

namespace json = boost::json;

json::object
ServiceJson(const SloServiceRow& aService)
{
  json::object calls;
  for (std::size_t i = 0; i < kCallClassCount; ++i) {
    calls[Name(static_cast<CallClass>(i))] = aService.status.calls[i];
  }
  json::object targets;
  for (const auto& [state, count] : aService.status.targets) {
    targets[state] = count;
  }
  const ObjectiveSpec& objective = aService.spec.objective;
  return {
    { "service", aService.spec.name },
    { "availability", objective.availability },
    { "latency_ms", objective.latency.count() },
    { "budget_left", aService.burn.budgetLeft },
    { "burn_5m", aService.burn.rates[0] },
    { "burn_1h", aService.burn.rates[1] },
    { "burn_6h", aService.burn.rates[2] },
    { "burn_3d", aService.burn.rates[3] },
    { "alert", Name(aService.burn.alert) },
    { "remedy", RemedyFor(aService) },
    { "calls", calls },
    { "targets", targets },
    { "measuring_bytes", aService.status.measuringBytes },
    { "measuring_bytes_per_second_allowed",
      aService.spec.measuring.bytesPerSecond },
  };
}

}

std::string
SloReportJson(const SloReport& aReport)
{
  json::array services;
  for (const SloServiceRow& service : aReport.services) {
    services.push_back(ServiceJson(service));
  }
  json::array zones;
  for (const SloZoneRow& zone : aReport.zones) {
    zones.push_back(json::object{ { "zone", zone.zone },
                                  { "generation", zone.generation },
                                  { "age_s", zone.age.count() } });
  }
  return json::serialize(json::object{ { "generation", aReport.generation },
                                       { "services", services },
                                       { "zones", zones } });
}

}
