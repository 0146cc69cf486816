/// @file
#pragma once

#include "baobab/node/attempt_runner.hpp"

#include <vector>

namespace baobab {

/// Runs one attempt, and a second one elsewhere if the first takes longer than
/// calls of its service usually do. The first answer is the call's.
/// @param aTried targets that the second attempt leaves out
Outcome RunHedged(AttemptRunner& aRunner,
                  const IngressCall& aCall,
                  const ChosenTarget& aChosen,
                  const std::vector<Endpoint>& aTried);

}
