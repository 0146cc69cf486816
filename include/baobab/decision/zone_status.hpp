/// @file
#pragma once

#include "baobab/decision/burn_report.hpp"
#include "baobab/decision/burn_series.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace baobab {

/// Status of one service in one availability zone.
struct ServiceStatus
{
  std::array<std::uint64_t, kCallClassCount> calls{};
  /// Bytes that load reports took.
  std::uint64_t measuringBytes = 0;
  BurnSeries series;
  /// Number of the zone's targets by the name of their state.
  std::map<std::string, std::uint64_t> targets;
};

/// Last report of one daemon.
struct ReporterStatus
{
  std::uint64_t sequence = 0;
  std::uint64_t generation = 0;
  StatusTime reportedAt{ 0 };

  bool operator==(const ReporterStatus&) const = default;
};

/// Status of one availability zone, accumulated from the reports of its
/// daemons. It is stored together with the number of each daemon's last report,
/// so that a daemon that takes over the aggregation counts no report twice.
class ZoneStatus
{
public:
  /// Time after which a daemon that has stopped reporting is removed.
  static constexpr StatusTime kReporterRetention = std::chrono::hours(1);

  /// Adds a report. Returns false if it was already counted.
  bool Add(const BurnReport& aReport, StatusTime aNow);

  /// True if the report was already counted.
  bool HasCounted(const BurnReport& aReport) const;

  /// Lowest generation in force at the daemons that reported recently; 0 if
  /// there are none.
  std::uint64_t LowestGeneration(StatusTime aNow) const;

  std::map<std::string, ServiceStatus> services;
  std::map<std::uint64_t, ReporterStatus> reporters;
  StatusTime updatedAt{ 0 };
};

}
