/// @file
/// A call in the daemon that received it from its caller.
#pragma once

#include "baobab/core/http_message.hpp"
#include "baobab/core/random.hpp"
#include "baobab/core/region_limits.hpp"
#include "baobab/core/settings.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/node/call_record.hpp"
#include "baobab/node/call_stats.hpp"
#include "baobab/node/peer_link.hpp"
#include "baobab/node/rcu_cell.hpp"
#include "baobab/node/route_table.hpp"
#include "baobab/node/workspace_access.hpp"

#include <memory>
#include <optional>

namespace baobab {

/// A caller's request with all that is needed to run and log it.
struct IngressCall
{
  std::shared_ptr<const Route> route;
  /// Service that was chosen for this call; null if it is not known.
  std::shared_ptr<const ServiceRoute> serviceRoute;
  /// Workspace that the caller's key belongs to; null if the call has none.
  std::shared_ptr<const Workspace> workspace;
  /// True if the key may have been withdrawn without this daemon's knowledge.
  bool keysOutdated = false;
  Request request;
  TimePoint startedAt;
  CallTerms terms;
  DisconnectNotifier* caller = nullptr;
  /// Set if the request is suspected of crashing targets.
  std::optional<Suspect> suspect;
  /// Attempts of the call, for the log.
  std::shared_ptr<CallRecord> record;
  /// Statistics of the service; owned by the worker.
  ServiceStats* stats = nullptr;

  /// Regions in which the call may be served.
  RegionLimits Regions() const
  {
    return { this->route->spec.regions,
             this->workspace
               ? std::span<const std::string>(this->workspace->spec.regions)
               : std::span<const std::string>() };
  }
};

/// True if the request is known to crash targets and must not be sent to any.
bool IsQuarantined(const IngressCall& aCall);

/// Prepares the call for a request: sets its deadline, chooses its service by
/// the weights of the route, and sets the headers for targets. The caller's key
/// is not part of it.
IngressCall PrepareCall(std::shared_ptr<const Route> aRoute,
                        CallAccess aAccess,
                        Request&& aRequest,
                        const RcuCell<RouteTable>& aRoutes,
                        const Settings& aSettings,
                        SplitMix& aRandom);

}
