/// @file
/// Runs attempts of calls at targets.
#pragma once

#include "baobab/node/ingress_call.hpp"
#include "baobab/node/link_pool.hpp"
#include "baobab/node/target_chooser.hpp"

#include <boost/asio/io_context.hpp>
#include <unordered_map>
#include <vector>

namespace baobab {

/// Chooses targets for calls, runs attempts there and updates the load
/// estimates, circuit breakers and moving averages with their results. Used by
/// one worker only.
class AttemptRunner
{
public:
  /// @param aOnLoad called for each load report that a target's daemon sends
  ///   in a message of its own
  AttemptRunner(boost::asio::io_context& aContext,
                LinkIdentity aIdentity,
                LoadListener aOnLoad,
                const RcuCell<RouteTable>& aRoutes,
                const Settings& aSettings);

  /// Chooses a target that was not tried yet. The result has no target if none
  /// may be used.
  ChosenTarget Choose(const IngressCall& aCall,
                      const std::vector<Endpoint>& aTried);

  /// Runs one attempt; suspends the fiber until its outcome is known.
  /// @param aPermit used up by the attempt
  /// @param aCancellation set while the attempt can be cancelled
  /// @param aSecond true if another attempt of the call is running
  Outcome Run(const IngressCall& aCall,
              const ChosenTarget& aChosen,
              SendPermit aPermit,
              Cancellation& aCancellation,
              bool aSecond = false);

  /// Updates the known load of a target.
  void UpdateLoad(const Endpoint& aEndpoint, const LoadReport& aLoad);

  /// @copydoc PeerLink::WithdrawWaiting
  void WithdrawWaiting() { this->links.WithdrawWaiting(); }

private:
  ChoiceTerms TermsOf(const IngressCall& aCall) const;
  static Duration EstimatedWork(const IngressCall& aCall);
  void RecordResult(const IngressCall& aCall,
                    TargetEntry& aTarget,
                    const AttemptResult& aResult,
                    Duration aLatency) const;

  const RcuCell<RouteTable>& routes;
  const Settings& settings;
  LinkPool links;
  /// Targets of earlier attempts, whose load is updated.
  std::unordered_map<Endpoint, std::weak_ptr<TargetEntry>> knownTargets;
  SplitMix random;
};

}
