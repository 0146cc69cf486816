/// @file
/// The service-level burn of all services, for people and programs.
#pragma once

#include "baobab/core/service.hpp"
#include "baobab/decision/burn_rate.hpp"
#include "baobab/decision/zone_status.hpp"

#include <map>
#include <string>
#include <vector>

namespace baobab {

/// One service over all availability zones.
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
  std::uint64_t generation = 0;
  StatusTime age{ 0 };
};

/// Everything that a report shows.
struct SloReport
{
  std::vector<SloServiceRow> services;
  std::vector<SloZoneRow> zones;
  /// Published generation.
  std::uint64_t generation = 0;
  StatusTime generatedAt{ 0 };
};

/// Folds the status of all zones.
SloReport BuildSloReport(const std::vector<ServiceSpec>& aServices,
                         const std::map<std::string, ZoneStatus>& aZones,
                         std::uint64_t aGeneration,
                         StatusTime aNow);

/// What to do about a service's burn; empty if nothing is to be done.
std::string RemedyFor(const SloServiceRow& aService);

/// Table for a terminal.
std::string SloReportTable(const SloReport& aPage);

/// JSON for programs.
std::string SloReportJson(const SloReport& aPage);

/// Self-contained HTML page with plots.
std::string SloReportHtml(const SloReport& aPage);

}
