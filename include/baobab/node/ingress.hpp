/// @file
/// Handling of the requests that callers send to this daemon.
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/node/attempt_runner.hpp"
#include "baobab/node/call_stats.hpp"
#include "baobab/node/drop_counter.hpp"
#include "baobab/node/lease_cell.hpp"
#include "baobab/node/quota_gate.hpp"
#include "baobab/node/rcu_cell.hpp"
#include "baobab/node/watched_attempts.hpp"
#include "baobab/node/workspace_access.hpp"

#include <memory>
#include <optional>
#include <string>

namespace baobab {

/// Answers the requests of callers on one worker: finds the service, runs
/// attempts at targets, retries within the budget and responds to the caller.
class Ingress
{
public:
  Ingress(boost::asio::io_context& aContext,
          const RcuCell<RouteTable>& aRoutes,
          QuotaGate& aQuotas,
          const LeaseCell& aLease,
          LinkIdentity aIdentity,
          const Settings& aSettings);

  /// Returns the handler for the HTTP server of this worker.
  HttpHandler Handler();

  /// @copydoc PeerLink::WithdrawWaiting
  void WithdrawWaiting() { this->runner.WithdrawWaiting(); }

  const WorkerStats& Stats() const { return this->stats; }

  /// Requests that were refused because of their key.
  const DropCounter& KeyRefusals() const { return this->keyRefusals; }

private:
  Response Answer(Request&& aRequest, DisconnectNotifier& aCaller);
  Response RefuseKey(const CallAccess& aAccess);
  Response Run(std::shared_ptr<const Route> aRoute,
               CallAccess aAccess,
               Request&& aRequest,
               DisconnectNotifier& aCaller);
  Response Serve(IngressCall& aCall);
  bool KeysAreCurrent(std::uint64_t aGeneration) const;
  std::optional<NotRun> RefusalByWorkspace(const IngressCall& aCall) const;
  Response RefuseUnknownService(const IngressCall& aCall);
  HttpLimits Limits() const;
  Response NoRouteResponse() const;
  Outcome RunAttempts(const IngressCall& aCall);
  Response FinishCall(const IngressCall& aCall,
                      Outcome aOutcome,
                      const std::string& aService);
  void UpdateLoad(const Endpoint& aEndpoint, const LoadReport& aLoad);

  const RcuCell<RouteTable>& routes;
  QuotaGate& quotas;
  const LeaseCell& lease;
  const Settings& settings;
  AttemptRunner runner;
  WatchedAttempts watchedAttempts;
  SplitMix random;
  WorkerStats stats;
  DropCounter keyRefusals;
};

}
