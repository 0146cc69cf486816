/// @file
#pragma once

#include "baobab/node/ingress_call.hpp"
#include "baobab/node/link_pool.hpp"
#include "baobab/node/target_chooser.hpp"

#include <boost/asio/io_context.hpp>
#include <unordered_map>
#include <vector>

namespace baobab {

/// Chooses targets for calls, runs attempts there and learns from them. It
/// belongs to one worker.
class AttemptRunner
{
public:
  AttemptRunner(boost::asio::io_context& aContext,
                LinkIdentity aIdentity,
                LoadListener aOnLoad,
                const RcuCell<RouteTable>& aRoutes,
                const Settings& aSettings);

  /// Chooses a target that was not tried yet; none if there is none.
  ChosenTarget Choose(const IngressCall& aCall,
                      const std::vector<Endpoint>& aTried);

  /// Runs one attempt; suspends the fiber until its outcome is known.
  /// @param aSecond true if another attempt of the call runs
  Outcome Run(const IngressCall& aCall,
              const ChosenTarget& aChosen,
              Cancellation& aCancellation,
              bool aSecond = false);

  /// Takes over news of a target's load.
  void TakeLoad(const Endpoint& aEndpoint, const LoadReport& aLoad);

  /// Ends the attempts that have not started at a target, as "not run".
  void WithdrawWaiting() { this->links.WithdrawWaiting(); }

private:
  ChoiceTerms TermsOf(const IngressCall& aCall) const;
  static Duration UsualWork(const IngressCall& aCall);
  static void Learn(const IngressCall& aCall,
                    TargetEntry& aTarget,
                    const AttemptResult& aResult,
                    Duration aLatency);

  const RcuCell<RouteTable>& routes;
  LinkPool links;
  /// Targets that were called, for their news.
  std::unordered_map<Endpoint, std::weak_ptr<TargetEntry>> called;
  SplitMix random;
};

}
