/// @file
#pragma once

#include "baobab/load/call_result.hpp"
#include "baobab/load/experiment.hpp"

#include <functional>
#include <string>
#include <vector>

namespace baobab {

/// Returns the prefix of the call IDs of an experiment.
std::string CallIdPrefix(const Experiment& aExperiment);

/// Makes the calls of an experiment at arrival times that are planned
/// beforehand and do not depend on responses, and returns the result of each.
/// @param aProgress called about every 50 ms with the number of calls that have
///   ended
std::vector<CallResult> RunExperiment(
  const Experiment& aExperiment,
  const std::function<void(std::size_t)>& aProgress);

}
