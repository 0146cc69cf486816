#include "baobab/decision/zone_status.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Age of a daemon's last report from which the daemon is left out of the
/// lowest generation.
constexpr StatusTime kRecentReport = std::chrono::minutes(2);

}

bool
ZoneStatus::Add(const BurnReport& aReport, StatusTime aNow)
{
  if (this->HasCounted(aReport)) {
    return false;
  }
  this->reporters[aReport.reporter] = { aReport.sequence,
                                        aReport.generation,
                                        aNow };
  for (const ServiceCounts& counts : aReport.services) {
    ServiceStatus& status = this->services[counts.service];
    BurnCount burn;
    for (std::size_t i = 0; i < kCallClassCount; ++i) {
      status.calls[i] += counts.calls[i];
      const bool good = static_cast<CallClass>(i) == CallClass::Good;
      (good ? burn.good : burn.bad) += counts.calls[i];
    }
    status.measuringBytes += counts.measuringBytes;
    status.series.Add(burn, aNow);
  }
  std::erase_if(this->reporters, [&](const auto& aItem) {
    return aNow - aItem.second.reportedAt > kReporterRetention;
  });
  this->updatedAt = std::max(this->updatedAt, aNow);
  return true;
}

bool
ZoneStatus::HasCounted(const BurnReport& aReport) const
{
  const auto found = this->reporters.find(aReport.reporter);
  return found != this->reporters.end() &&
         found->second.sequence >= aReport.sequence;
}

std::uint64_t
ZoneStatus::LowestGeneration(StatusTime aNow) const
{
  std::uint64_t lowest = 0;
  for (const auto& [reporter, status] : this->reporters) {
    if (aNow - status.reportedAt < kRecentReport &&
        (lowest == 0 || status.generation < lowest)) {
      lowest = status.generation;
    }
  }
  return lowest;
}

}
