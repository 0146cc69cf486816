/// @file
/// Reads the state of the local target from its health path.
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/announcement_filter.hpp"
#include "baobab/node/target_client.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace baobab {

/// Data that a healthy target reports in its headers.
struct ProbedTarget
{
  std::string instance;
  LoadReport load;
};

/// Asks the process at an address whether it is healthy and which instance it
/// is, on a connection of its own. Returns nothing if there is no answer.
std::optional<TargetProof> AskTarget(TargetClient& aTarget,
                                     const Endpoint& aAddress,
                                     std::string_view aPath,
                                     const Settings& aSettings);

/// State that a target reports on its health path.
struct HealthReport
{
  /// Nothing if the answer does not contain the load.
  std::optional<LoadReport> load;
  /// Time for which the target stays cold; nothing if it does not say so.
  std::optional<Millis> warmupLeft;
  TimePoint askedAt;
};

/// Requests the target's state. Returns nothing if there is no answer.
std::optional<HealthReport> ProbeHealth(TargetClient& aTarget,
                                        std::string_view aPath,
                                        const Settings& aSettings);

/// Requests the target's instance and load. Returns nothing if the target is
/// not healthy or its answer does not contain both.
std::optional<ProbedTarget> ProbeTarget(TargetClient& aTarget,
                                        std::string_view aPath,
                                        const Settings& aSettings);

}
