/// @file
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/core/settings.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/node/call_stats.hpp"
#include "baobab/node/rcu_cell.hpp"
#include "baobab/node/route_table.hpp"

#include <memory>
#include <vector>

namespace baobab {

struct IngressWorker;

/// The threads that answer callers. Its functions are called on the control
/// thread and suspend the calling fiber while they ask the workers.
class IngressPool
{
public:
  IngressPool(const RcuCell<RouteTable>& aRoutes, const Settings& aSettings);
  ~IngressPool();

  /// Opens a listening socket for each worker. Fails with System.
  Result<Done> Open();

  /// Starts the threads.
  void Start();

  /// Statistics of all workers together.
  WorkerStats Stats();

  /// Requests that are being answered.
  std::size_t ActiveRequests();

  /// Connections of callers that were taken since the start.
  std::uint64_t AcceptedConnections();

  /// Accepts no more connections and ends keep-alive on the open ones.
  void StopAccepting();

  /// Ends the calls that have not started at a target, as "not run".
  void WithdrawWaiting();

private:
  void Serve(IngressWorker& aWorker);

  const RcuCell<RouteTable>& routes;
  const Settings& settings;
  HttpLimits limits;
  std::vector<std::unique_ptr<IngressWorker>> workers;
};

}
