/// @file
/// Report on the service-level objectives of all services: error budgets, burn
/// rates and alerts.
#pragma once

#include "baobab/core/service.hpp"
#include "baobab/decision/burn_rate.hpp"
#include "baobab/decision/zone_status.hpp"

#include <map>
#include <string>
#include <vector>

namespace baobab {

/// One service across all availability zones.
struct SloServiceRow
{
  ServiceSpec spec;
  ServiceStatus status;
  BurnSummary burn;
};

/// One availability zone.
struct SloZoneRow
{
  std::string zone;
  /// Lowest configuration generation in effect at its daemons.
  std::uint64_t generation = 0;
  /// Age of the status.
  StatusTime age{ 0 };
};

/// Contents of a report, independent of its format.
struct SloReport
{
  std::vector<SloServiceRow> services;
  std::vector<SloZoneRow> zones;
  /// Published generation.
  std::uint64_t generation = 0;
  StatusTime generatedAt{ 0 };
};

/// Builds a report from the status of all availability zones.
/// @param aZones by `region/zone`
/// @param aGeneration published configuration generation
SloReport BuildSloReport(const std::vector<ServiceSpec>& aServices,
                         const std::map<std::string, ZoneStatus>& aZones,
                         std::uint64_t aGeneration,
                         StatusTime aNow);

/// Returns what to do about the alert of a service; empty if there is none.
std::string RemedyFor(const SloServiceRow& aService);

/// Table for a terminal.
std::string SloReportTable(const SloReport& aReport);

/// JSON for programs.
std::string SloReportJson(const SloReport& aReport);

/// Self-contained HTML page with plots.
std::string SloReportHtml(const SloReport& aReport);

}
