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
struct ServiceBurn
{
  ServiceSpec spec;
  ServiceStatus status;
  BurnSummary burn;
};

/// One availability zone.
struct ZoneBurn
{
  std::string zone;
  std::uint64_t generation = 0;
  StatusTime age{ 0 };
};

/// Everything that a report shows.
struct BurnPage
{
  std::vector<ServiceBurn> services;
  std::vector<ZoneBurn> zones;
  /// Published generation.
  std::uint64_t generation = 0;
  StatusTime at{ 0 };
};

/// Folds the status of all zones.
BurnPage BuildBurnPage(const std::vector<ServiceSpec>& aServices,
                       const std::map<std::string, ZoneStatus>& aZones,
                       std::uint64_t aGeneration,
                       StatusTime aNow);

/// What to do about a service's burn; empty if nothing is to be done.
std::string RemedyFor(const ServiceBurn& aService);

/// Table for a terminal.
std::string BurnTable(const BurnPage& aPage);

/// JSON for programs.
std::string BurnJson(const BurnPage& aPage);

/// Self-contained HTML page with plots.
std::string BurnHtml(const BurnPage& aPage);

}
