/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/node/attempt_runner.hpp"
#include "baobab/node/call_stats.hpp"
#include "baobab/node/rcu_cell.hpp"
#include "baobab/node/watched_attempts.hpp"

#include <string>

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
  void WithdrawWaiting() { this->runner.WithdrawWaiting(); }

  const WorkerStats& Stats() const { return this->stats; }

private:
  Response Answer(Request&& aRequest, CallerWatch& aCaller);
  Response Serve(IngressCall& aCall);
  Response RefuseUnknownService(const IngressCall& aCall);
  HttpLimits Limits() const;
  Response NoRouteResponse() const;
  Outcome RunAttempts(const IngressCall& aCall);
  Response FinishCall(const IngressCall& aCall,
                      Outcome aOutcome,
                      const std::string& aService);
  void UpdateLoad(const Endpoint& aEndpoint, const LoadReport& aLoad);

  const RcuCell<RouteTable>& routes;
  const Settings& settings;
  AttemptRunner runner;
  WatchedAttempts watchedAttempts;
  SplitMix random;
  WorkerStats stats;
};

}
