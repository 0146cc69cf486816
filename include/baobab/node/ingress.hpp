/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/decision/call_plan.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/node/call_stats.hpp"
#include "baobab/node/link_pool.hpp"
#include "baobab/node/rcu_cell.hpp"
#include "baobab/node/target_chooser.hpp"

#include <memory>
#include <unordered_map>

namespace baobab {

/// Answers callers on one worker: finds the service, chooses targets, retries
/// within the budget and tells the caller how the call ended.
class Ingress
{
public:
  Ingress(boost::asio::io_context& aContext,
          const RcuCell<RouteTable>& aRoutes,
          LinkIdentity aIdentity,
          const Settings& aSettings);

  /// Handler for the HTTP server of this worker.
  HttpHandler Handler();

  /// Ends the calls that have not started at a target, as "not run".
  void WithdrawWaiting() { this->links.WithdrawWaiting(); }

  const WorkerStats& Stats() const { return this->stats; }

private:
  /// One call on its way.
  struct Call
  {
    std::shared_ptr<const Route> rule;
    /// Service that answers this call.
    std::shared_ptr<const ServiceRoute> route;
    Request request;
    TimePoint began;
    CallTerms terms;
    CallerWatch* caller = nullptr;
    /// Set while requests like this one are under suspicion.
    std::optional<std::uint64_t> suspect;
  };

  Response Answer(Request&& aRequest, CallerWatch& aCaller);
  Call Prepare(std::shared_ptr<const Route> aRule, Request&& aRequest);
  HttpLimits Limits() const;
  Response Unrouted() const;
  Outcome Carry(const Call& aCall, ServiceStats& aStats);
  ChosenTarget ChooseFor(const Call& aCall,
                         const std::vector<Endpoint>& aTried);
  Outcome Attempt(const Call& aCall,
                  const ChosenTarget& aChosen,
                  Cancellation& aCancellation);
  Outcome AttemptWatched(const Call& aCall,
                         const ChosenTarget& aChosen,
                         CallPlan& aPlan);
  /// An attempt in flight that may be sent once more.
  struct Flight;

  Outcome AwaitSecond(Flight& aFlight, Outcome aFirst);
  void ConsiderSecond(const std::shared_ptr<Flight>& aFlight, double aSlowness);
  void SendSecond(const std::shared_ptr<Flight>& aFlight,
                  const ChosenTarget& aChosen);
  ChoiceTerms TermsOf(const Call& aCall) const;
  static Duration UsualWork(const Call& aCall);
  Outcome AttemptHedged(const Call& aCall,
                        const ChosenTarget& aChosen,
                        const std::vector<Endpoint>& aTried);
  void Learn(const Call& aCall,
             TargetRef& aTarget,
             const AttemptResult& aResult,
             Duration aLatency);
  Response Conclude(const Call& aCall,
                    Outcome aOutcome,
                    ServiceStats& aStats) const;

  void TakeLoad(const Endpoint& aEndpoint, const LoadReport& aLoad);

  const RcuCell<RouteTable>& routes;
  const Settings& settings;
  LinkPool links;
  /// Targets that were called, for their news.
  std::unordered_map<Endpoint, std::weak_ptr<TargetRef>> called;
  /// Idempotent attempts in flight, by target.
  std::unordered_multimap<Endpoint, std::shared_ptr<Flight>> flights;
  SplitMix random;
  WorkerStats stats;
};

}
