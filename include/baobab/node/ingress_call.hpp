/// @file
#pragma once

#include "baobab/core/http_message.hpp"
#include "baobab/core/random.hpp"
#include "baobab/core/settings.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/node/call_record.hpp"
#include "baobab/node/call_stats.hpp"
#include "baobab/node/peer_link.hpp"
#include "baobab/node/rcu_cell.hpp"
#include "baobab/node/route_table.hpp"

#include <memory>
#include <optional>

namespace baobab {

/// One call on its way from its caller to a target.
struct IngressCall
{
  std::shared_ptr<const Route> route;
  /// Service that answers this call; null if the route names none that is
  /// known.
  std::shared_ptr<const ServiceRoute> serviceRoute;
  Request request;
  TimePoint startedAt;
  CallTerms terms;
  CallerWatch* caller = nullptr;
  /// Set while requests like this one are under suspicion.
  std::optional<std::uint64_t> suspectFingerprint;
  std::shared_ptr<CallRecord> record;
  /// Statistics of the service; kept by the worker.
  ServiceStats* stats = nullptr;
};

/// Makes a call out of a request: its deadline, its service by the weights of
/// its route, and the headers that targets get.
IngressCall PrepareCall(std::shared_ptr<const Route> aRule,
                        Request&& aRequest,
                        const RcuCell<RouteTable>& aRoutes,
                        const Settings& aSettings,
                        SplitMix& aRandom);

}
