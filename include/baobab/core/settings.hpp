/// @file
/// Settings of one daemon, read from its TOML file.
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/locality.hpp"
#include "baobab/core/schema.hpp"
#include "baobab/core/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

struct Timeouts
{
  Millis callerHeader{ 5000 };
  Millis callerBody{ 10000 };
  Millis callerIdle{ 60000 };
  Millis connect{ 500 };
  Millis heartbeat{ 250 };
  /// Silence after which a link counts as lost.
  Millis silence{ 1000 };
  Millis announcement{ 3500 };
  Millis drain{ 30000 };
};

struct ControlBudget
{
  /// Bytes of gossip, configuration and status a second.
  std::int64_t bytesPerSecond = 16384;
  std::int64_t readersPerZone = 2;
  Millis probePeriod{ 1000 };
  Millis statusPeriod{ 10000 };
};

struct Settings
{
  Endpoint callers;
  Endpoint peers;
  /// Address that is announced to other daemons; unset: `peers`.
  std::optional<Endpoint> announced;
  Endpoint admin;
  Endpoint store;
  Locality locality;
  std::int64_t workers = 2;
  std::int64_t targetConnections = 250;
  std::int64_t callerConnections = 10000;
  std::int64_t headerBytes = 16384;
  std::string logFormat = "json";
  std::string logLevel = "info";
  Timeouts timeouts;
  ControlBudget control;

  /// Address by which other daemons know this one.
  Endpoint Identity() const { return this->announced.value_or(this->peers); }
};

/// The keys of a settings file.
const std::vector<Field<Settings>>& SettingsSchema();

/// Parses and checks a settings file.
Result<Settings> ParseSettings(std::string_view aText, std::string_view aFile);

}
