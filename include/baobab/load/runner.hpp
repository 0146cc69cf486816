/// @file
#pragma once

#include "baobab/load/call_result.hpp"
#include "baobab/load/experiment.hpp"

#include <functional>
#include <string>
#include <vector>

namespace baobab {

/// Prefix of the call ids of an experiment.
std::string CallIdPrefix(const Experiment& aExperiment);

/// Makes the calls of an experiment at arrival times that are fixed
/// beforehand, and returns the result of each.
/// @param aProgress called about twice a second with the calls ended so far
std::vector<CallResult> RunExperiment(
  const Experiment& aExperiment,
  const std::function<void(std::size_t)>& aProgress);

}
