/// @file
/// Questions to the local target by its health path.
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/node/target_client.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace baobab {

/// What a healthy target says of itself.
struct ProbedTarget
{
  std::string instance;
  LoadReport load;
};

/// Asks for the load; nothing if it is not told.
std::optional<LoadReport> ProbeLoad(TargetClient& aTarget,
                                    std::string_view aPath,
                                    const Settings& aSettings);

/// Asks for instance and load; nothing if the target is not healthy, or does
/// not tell both.
std::optional<ProbedTarget> ProbeTarget(TargetClient& aTarget,
                                        std::string_view aPath,
                                        const Settings& aSettings);

}
