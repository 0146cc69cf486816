/// @file
#pragma once

#include "baobab/decision/burn_report.hpp"
#include "baobab/decision/burn_series.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace baobab {

/// What is known of one service in one availability zone.
struct ServiceStatus
{
  std::array<std::uint64_t, kCallClassCount> calls{};
  std::uint64_t measuringBytes = 0;
  BurnSeries series;
  /// Targets of the zone by the name of their state.
  std::map<std::string, std::uint64_t> targets;
};

/// Last report of one daemon.
struct ReporterStatus
{
  std::uint64_t sequence = 0;
  std::uint64_t generation = 0;
  StatusTime at{ 0 };

  bool operator==(const ReporterStatus&) const = default;
};

/// Status of one availability zone, folded from its daemons' reports. It is
/// stored as a whole, with the last report of each daemon, so that whoever
/// folds next counts nothing twice.
class ZoneStatus
{
public:
  /// Time after which a daemon that stopped reporting is left out.
  static constexpr StatusTime kReporterLife = std::chrono::hours(1);

  /// Adds a report. Returns false if it was counted before.
  bool Add(const BurnReport& aReport, StatusTime aNow);

  /// True if the report has been counted.
  bool Holds(const BurnReport& aReport) const;

  /// Lowest generation in force at a daemon that reported of late; 0 if none
  /// did.
  std::uint64_t LowestGeneration(StatusTime aNow) const;

  std::map<std::string, ServiceStatus> services;
  std::map<std::uint64_t, ReporterStatus> reporters;
  StatusTime updatedAt{ 0 };
};

}
