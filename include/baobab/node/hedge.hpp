/// @file
/// Hedged requests: a second attempt for calls that take unusually long.
#pragma once

#include "baobab/node/attempt_runner.hpp"

#include <vector>

namespace baobab {

/// Runs one attempt, and a second one at another target if the first takes
/// much longer than the service's mean latency and the retry budget allows it.
/// The call gets the first answer; the other attempt is then cancelled.
/// Suspends the fiber until the outcome is known.
/// @param aTried targets that the second attempt must not use
Outcome RunHedged(AttemptRunner& aRunner,
                  const IngressCall& aCall,
                  const ChosenTarget& aChosen,
                  const std::vector<Endpoint>& aTried,
                  SendPermit aPermit);

}
