#include "baobab/report/slo_report.hpp"

#include <cstdio>

namespace baobab {
namespace {

template<class... Args>
std::string
Format(const char* aFormat, Args... aArgs)
{
  char text[256];
  std::snprintf(text, sizeof text, aFormat, aArgs...);
  return text;
}

std::string
TargetsText(const ServiceStatus& aStatus)
{
  std::string text;
  for (const auto& [state, count] : aStatus.targets) {
    text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + state;
  }
  return text.empty() ? "none" : text;
}

std::string
ServiceRows(const SloServiceRow& aService)
{
  const auto& [fiveMinutes, oneHour, sixHours, threeDays] = aService.burn.rates;
  const auto& calls = aService.status.calls;
  const ObjectiveSpec& objective = aService.spec.objective;
  std::string rows =
    Format("%-14s %8.3f%% %6lld ms %7.1f%% %8.2f %8.2f %8.2f %8.2f  %s\n",
           aService.spec.name.c_str(),
           100 * objective.availability,
           static_cast<long long>(objective.latency.count()),
           100 * aService.burn.budgetLeft,
           fiveMinutes,
           oneHour,
           sixHours,
           threeDays,
           std::string(Name(aService.burn.alert)).c_str());
  rows += "    calls:";
  for (std::size_t i = 0; i < kCallClassCount; ++i) {
    rows += Format(" %llu %s",
                   static_cast<unsigned long long>(calls[i]),
                   std::string(Name(static_cast<CallClass>(i))).c_str());
  }
  rows +=
    Format("; measuring %llu bytes (%lld bytes/s allowed); targets: ",
           static_cast<unsigned long long>(aService.status.measuringBytes),
           static_cast<long long>(aService.spec.measuring.bytesPerSecond));
  rows += TargetsText(aService.status) + "\n";
  const std::string remedy = RemedyFor(aService);
  if (!remedy.empty()) {
    rows += "    -> " + remedy + "\n";
  }
  return rows;
}

}

std::string
SloReportTable(const SloReport& aReport)
{
  std::string text = Format("%-14s %9s %9s %8s %8s %8s %8s %8s  %s\n",
                            "service",
                            "available",
                            "latency",
                            "budget",
                            "5 min",
                            "1 h",
                            "6 h",
                            "3 days",
                            "alert");
  for (const SloServiceRow& service : aReport.services) {
    text += ServiceRows(service);
  }
  text += Format("\n%-24s %12s %10s\n", "zone", "generation", "age");
  for (const SloZoneRow& zone : aReport.zones) {
    text += Format("%-24s %12llu %8lld s%s\n",
                   zone.zone.c_str(),
                   static_cast<unsigned long long>(zone.generation),
                   static_cast<long long>(zone.age.count()),
                   zone.generation < aReport.generation ? "  behind" : "");
  }
  return text;
}

}
