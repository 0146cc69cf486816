#include "baobab/report/slo_report.hpp"

#include <algorithm>

namespace baobab {

SloReport
BuildSloReport(const std::vector<ServiceSpec>& aServices,
               const std::map<std::string, ZoneStatus>& aZones,
               std::uint64_t aGeneration,
               StatusTime aNow)
{
  SloReport report;
  report.generation = aGeneration;
  report.generatedAt = aNow;
  for (const auto& [name, zone] : aZones) {
    report.zones.push_back(
      { name, zone.LowestGeneration(aNow), aNow - zone.updatedAt });
  }
  for (const ServiceSpec& spec : aServices) {
    SloServiceRow service;
    service.spec = spec;
    for (const auto& [name, zone] : aZones) {
      const auto found = zone.services.find(spec.name);
      if (found == zone.services.end()) {
        continue;
      }
      const ServiceStatus& zoneStatus = found->second;
      std::ranges::transform(service.status.calls,
                             zoneStatus.calls,
                             service.status.calls.begin(),
                             std::plus{});
      service.status.measuringBytes += zoneStatus.measuringBytes;
      service.status.series.Merge(zoneStatus.series);
      for (const auto& [state, count] : zoneStatus.targets) {
        service.status.targets[state] += count;
      }
    }
    service.burn = SummariseBurn(service.status.series, spec.objective, aNow);
    report.services.push_back(std::move(service));
  }
  return report;
}

std::string
RemedyFor(const SloServiceRow& aService)
{
  if (aService.burn.alert == BurnAlert::None) {
    return {};
  }
  const auto& calls = aService.status.calls;
  const auto mostFrequent =
    std::ranges::max_element(calls.begin() + 1, calls.end());
  switch (static_cast<CallClass>(mostFrequent - calls.begin())) {
    case CallClass::Late:
      return "calls are late: add targets, or look for slow targets";
    case CallClass::Failed:
      return "targets respond with errors: check their logs";
    case CallClass::NotRun:
      return "calls are refused: add targets or slots";
    case CallClass::Unknown:
      return "outcomes are unknown: look for targets that crash or do not "
             "respond";
    case CallClass::Good:
      break;
  }
  return {};
}

}
