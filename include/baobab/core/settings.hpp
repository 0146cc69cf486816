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
  /// Time for which a shutdown still takes new requests while callers learn
  /// of it.
  Millis leave{ 300 };
};

struct ControlBudget
{
  /// Bytes of gossip, configuration and status a second.
  std::int64_t bytesPerSecond = 16384;
  std::int64_t readersPerZone = 2;
  Millis probePeriod{ 1000 };
  Millis statusPeriod{ 10000 };
  /// Age of the target's load report from which its health path is asked; 0:
  /// never.
  Millis loadProbeAge{ 0 };
  /// Time for which a new daemon takes no share in fleet budgets.
  Millis settling{ 30000 };
};

/// Names of the headers that callers, targets and daemons exchange.
struct HeaderNames
{
  /// From callers, to targets and back: identity of the request. Answers of
  /// targets must carry it if it is set.
  std::string requestId;
  /// From callers and to targets: time left, in milliseconds.
  std::string deadline = "Baobab-Deadline-Ms";
  /// To targets: service beside which the request began.
  std::string callerService = "Baobab-Caller-Service";
  /// To targets: instance that is meant.
  std::string targetInstance = "Baobab-Target-Instance";
  /// From targets: the request was shed without running it.
  std::string notRun = "Baobab-Not-Run";
  /// True if `notRun` must hold the call's identity to be believed.
  bool notRunRequiresCallId = true;
  /// From targets: running, waiting, slots and slowness in percent.
  std::string load = "Baobab-Load";
  /// From targets: their instance.
  std::string instance = "Baobab-Instance";
  /// True if callers take 408, 421, 429 and 503 for "not run", so that a
  /// target's own answer of that status must not reach them.
  bool reserveNotRunStatuses = false;
  /// True if Retry-After may have a fraction.
  bool fractionalRetryAfter = false;
  /// From targets: must be present on a success, if it is set.
  std::string stamp;
};

/// What it is worth to keep a call near.
struct PlacementSpec
{
  /// Latency that is accepted to keep a megabyte in its availability zone.
  Millis zonePenaltyPerMegabyte{ 0 };
  /// Latency that is accepted to keep a megabyte in its region.
  Millis regionPenaltyPerMegabyte{ 0 };
};

/// Limits on retries that hold whatever a service file allows.
struct RetryCaps
{
  /// Retries allowed for each first attempt.
  double ratio = 1;
  /// Retries that the whole fleet may save up, by service.
  std::int64_t fleetBurst = 1000000;
};

/// Settings that may change while the program runs.
struct LiveSettings
{
  RetryCaps retries;
  PlacementSpec placement;
  /// Part of the calls of which every step is logged, whatever their outcome.
  double logCallShare = 0.01;
};

struct Settings
{
  Endpoint callers;
  Endpoint peers;
  /// Address that answers whether the daemon is ready; unset: only `admin`.
  std::optional<Endpoint> readiness;
  /// Address that answers `/metrics`; unset: only `admin`.
  std::optional<Endpoint> metrics;
  /// Service of the local target, for the caller's header; empty: as the
  /// target announces.
  std::string service;
  /// Address of the local target, by which it is found before it announces
  /// itself; announcements of other addresses are refused. Unset: any.
  std::optional<Endpoint> target;
  HeaderNames headers;
  LiveSettings live;
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
