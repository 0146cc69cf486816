/// @file
/// Attempts that react to the caller's disconnect and to a slow host.
#pragma once

#include "baobab/decision/retry_state.hpp"
#include "baobab/node/attempt_runner.hpp"

#include <memory>
#include <unordered_map>

namespace baobab {

/// Runs attempts, and cancels them when their caller disconnects. When the
/// host of an idempotent attempt becomes slow, the call may be sent to a second
/// target. The call then gets the first answer of the two.
class WatchedAttempts
{
public:
  explicit WatchedAttempts(AttemptRunner& aRunner)
    : runner(aRunner)
  {
  }

  /// Runs one attempt, and a second one if it is needed; suspends the fiber
  /// until the outcome is known.
  /// @param aRetryState holds the permit of the attempt, and decides whether a
  ///   second one is allowed
  Outcome Run(const IngressCall& aCall,
              const ChosenTarget& aChosen,
              RetryState& aRetryState);

  /// Considers second attempts for the calls that run at a target.
  /// @param aSlowness slowdown that the target's host reported; 1 is normal
  ///   speed
  void OnSlowness(const Endpoint& aEndpoint, double aSlowness);

private:
  struct InFlightAttempt;

  void ConsiderSecondAttempt(const std::shared_ptr<InFlightAttempt>& aAttempt,
                             double aSlowness);
  void SendSecondAttempt(const std::shared_ptr<InFlightAttempt>& aAttempt,
                         const ChosenTarget& aChosen,
                         SendPermit aPermit);
  static Outcome AwaitSecondAttempt(InFlightAttempt& aAttempt, Outcome aFirst);

  AttemptRunner& runner;
  /// Idempotent attempts that are running, by target.
  std::unordered_multimap<Endpoint, std::shared_ptr<InFlightAttempt>> inFlight;
};

}
