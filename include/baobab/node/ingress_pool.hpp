/// @file
/// The worker threads that serve callers.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/core/settings.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/node/call_stats.hpp"
#include "baobab/node/caller_connection_counts.hpp"
#include "baobab/node/lease_cell.hpp"
#include "baobab/node/quota_gate.hpp"
#include "baobab/node/rcu_cell.hpp"
#include "baobab/node/route_table.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace baobab {

struct IngressWorker;

/// The threads that answer callers. Its functions must be called on a fiber of
/// the control thread; they suspend it while they wait for the workers.
class IngressPool
{
public:
  IngressPool(const RcuCell<RouteTable>& aRoutes,
              QuotaGate& aQuotas,
              const LeaseCell& aLease,
              const Settings& aSettings);
  ~IngressPool();

  /// Opens a listening socket for each worker. Fails with System.
  Result<Done> Open();

  /// Starts the threads; call it once, after Open().
  void Start();

  /// Returns the merged statistics of all workers.
  WorkerStats Stats();

  /// Requests that were refused because of their key, by reason.
  std::map<std::string, std::uint64_t> KeyRefusals();

  /// Waits until all workers have shown that they make progress. The other
  /// functions wait without limit for a worker that makes none.
  /// @param aTime longest wait
  /// @return false if a worker did not respond in time
  bool RespondsWithin(Duration aTime);

  /// Number of requests that are being answered.
  std::size_t ActiveRequests();

  /// Counts of the connections of callers.
  CallerConnectionCounts Connections();

  /// Stops accepting connections, and closes the open ones after their current
  /// request.
  void StopAccepting();

  /// @copydoc PeerLink::WithdrawWaiting
  void WithdrawWaiting();

private:
  void Serve(IngressWorker& aWorker);

  const RcuCell<RouteTable>& routes;
  QuotaGate& quotas;
  const LeaseCell& lease;
  const Settings& settings;
  HttpLimits limits;
  std::int64_t maxConnections = 0;
  std::vector<std::unique_ptr<IngressWorker>> workers;
};

}
