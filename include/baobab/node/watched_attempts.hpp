/// @file
#pragma once

#include "baobab/decision/call_plan.hpp"
#include "baobab/node/attempt_runner.hpp"

#include <memory>
#include <unordered_map>

namespace baobab {

/// Runs attempts that end when their caller goes. When the host of an
/// idempotent one turns slow, the call may be sent to a second target; the
/// first answer of the two is the call's.
class WatchedAttempts
{
public:
  explicit WatchedAttempts(AttemptRunner& aRunner)
    : runner(aRunner)
  {
  }

  /// Runs one attempt; suspends the fiber until its outcome is known.
  Outcome Run(const IngressCall& aCall,
              const ChosenTarget& aChosen,
              CallPlan& aPlan);

  /// The host of a target reported how slow it is; 1 is the usual.
  void OnSlowness(const Endpoint& aEndpoint, double aSlowness);

private:
  struct InFlightAttempt;

  void ConsiderSecondAttempt(const std::shared_ptr<InFlightAttempt>& aFlight,
                             double aSlowness);
  void SendSecondAttempt(const std::shared_ptr<InFlightAttempt>& aFlight,
                         const ChosenTarget& aChosen);
  static Outcome AwaitSecondAttempt(InFlightAttempt& aFlight, Outcome aFirst);

  AttemptRunner& runner;
  /// Idempotent attempts in flight, by target.
  std::unordered_multimap<Endpoint, std::shared_ptr<InFlightAttempt>> inFlight;
};

}
