#include "baobab/report/slo_report.hpp"

#include <algorithm>

namespace baobab {

SloReport
BuildSloReport(const std::vector<ServiceSpec>& aServices,
               const std::map<std::string, ZoneStatus>& aZones,
               std::uint64_t aGeneration,
               StatusTime aNow)
{
  SloReport page;
  page.generation = aGeneration;
  page.generatedAt = aNow;
  for (const auto& [name, zone] : aZones) {
    page.zones.push_back(
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
      const ServiceStatus& part = found->second;
      std::ranges::transform(service.status.calls,
                             part.calls,
                             service.status.calls.begin(),
                             std::plus{});
      service.status.measuringBytes += part.measuringBytes;
      service.status.series.Merge(part.series);
      for (const auto& [state, count] : part.targets) {
        service.status.targets[state] += count;
      }
    }
    service.burn = SummariseBurn(service.status.series, spec.objective, aNow);
    page.services.push_back(std::move(service));
  }
  return page;
}

std::string
RemedyFor(const SloServiceRow& aService)
{
  if (aService.burn.alert == BurnAlert::None) {
    return {};
  }
  const auto& calls = aService.status.calls;
  const auto worst = std::ranges::max_element(calls.begin() + 1, calls.end());
  switch (static_cast<CallClass>(worst - calls.begin())) {
    case CallClass::Late:
      return "calls are late: add targets, or look for stragglers";
    case CallClass::Failed:
      return "targets answer with errors: look at their logs";
    case CallClass::NotRun:
      return "calls are refused: add targets or slots";
    case CallClass::Unknown:
      return "outcomes are unknown: look for crashing or silent targets";
    case CallClass::Good:
      break;
  }
  return {};
}

}
