/// @file
/// The immutable table by which calls are routed, and its builder.
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/locality.hpp"
#include "baobab/core/settings.hpp"
#include "baobab/decision/breaker.hpp"
#include "baobab/decision/configuration.hpp"
#include "baobab/decision/member.hpp"
#include "baobab/decision/suspicion.hpp"
#include "baobab/decision/target_load.hpp"
#include "baobab/node/named_limit.hpp"
#include "baobab/node/route_index.hpp"
#include "baobab/node/service_state.hpp"
#include "baobab/node/workspace_index.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace baobab {

/// A target with its load and circuit breaker as this daemon sees them.
struct TargetEntry
{
  TargetEntry(Endpoint aEndpoint, std::uint16_t aSlots, Locality aLocality = {})
    : endpoint(aEndpoint)
    , locality(std::move(aLocality))
    , load(aSlots)
  {
  }

  Endpoint endpoint;
  Locality locality;
  TargetLoad load;
  Breaker breaker;
  NamedLimit namedLimit;
};

/// A service with its targets, grouped by distance from this daemon.
struct ServiceRoute
{
  std::shared_ptr<const ConfiguredService> service;
  std::shared_ptr<ServiceState> state;
  std::array<std::vector<std::shared_ptr<TargetEntry>>, kTierCount> tiers;

  bool HasTargets() const
  {
    return std::ranges::any_of(
      this->tiers, [](const auto& aTier) { return !aTier.empty(); });
  }
};

/// All routes and services of a configuration with the current targets.
/// Not changed once published.
class RouteTable
{
public:
  /// Finds the route of a request, see RouteIndex::Find().
  std::shared_ptr<const Route> FindRoute(std::string_view aHost,
                                         std::string_view aRequestTarget) const
  {
    return this->index->Find(aHost, aRequestTarget);
  }

  /// Finds a service by its name; null if the configuration has none.
  std::shared_ptr<const ServiceRoute> FindService(
    std::string_view aService) const;

  /// Number of routable targets of all services.
  std::size_t TargetCount() const;

  /// Sorted by the name of the service.
  std::vector<std::shared_ptr<const ServiceRoute>> serviceRoutes;
  /// Requests suspected of crashing targets, sorted by fingerprint.
  std::vector<Suspect> suspects;
  /// Generation of the configuration; 0 if none is known yet.
  std::uint64_t generation = 0;
  /// The tightest limits on callers over all service files.
  CallerLimits callerLimits;
  LiveSettings live;
  std::shared_ptr<const RouteIndex> index = std::make_shared<RouteIndex>();
  std::shared_ptr<const WorkspaceIndex> workspaces =
    std::make_shared<WorkspaceIndex>();
};

/// Builds routing tables from incremental changes, and carries the state of
/// services and targets over from one table to the next. Unchanged services
/// are shared with the previous table.
class RouteTableBuilder
{
public:
  explicit RouteTableBuilder(Locality aLocality)
    : locality(std::move(aLocality))
  {
  }

  /// Applies the changed record of a member.
  void Update(const MemberRecord& aMember);

  /// Excludes the targets of these regions from now on.
  void SetSilentRegions(std::vector<std::string> aRegions);

  /// Excludes the targets of these availability zones from now on.
  void SetEvacuatedZones(std::vector<std::string> aZones);

  /// Sets the configuration of the tables to come.
  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);

  /// Builds the next table.
  std::unique_ptr<RouteTable> Build(std::vector<Suspect> aSuspects);

private:
  struct Target
  {
    Locality locality;
    std::shared_ptr<TargetEntry> entry;
  };

  struct Service
  {
    std::shared_ptr<ServiceState> state;
    std::map<Endpoint, Target> targets;
    std::shared_ptr<const ServiceRoute> route;
    bool changed = true;
  };

  std::shared_ptr<const ServiceRoute> ServiceRouteOf(
    const std::shared_ptr<const ConfiguredService>& aService);
  void RemoveTarget(const Endpoint& aEndpoint);

  Locality locality;
  bool IsExcluded(const Locality& aLocality) const;

  std::vector<std::string> silentRegions;
  std::vector<std::string> evacuatedZones;
  std::unordered_map<std::string, Service> services;
  /// Name of the service of each routable target.
  std::unordered_map<Endpoint, std::string> serviceOf;
  RouteStates routeStates;
  std::shared_ptr<const Configuration> configuration =
    std::make_shared<const Configuration>();
  /// The indexes depend only on the configuration, so they are not rebuilt when
  /// members change.
  std::shared_ptr<const RouteIndex> index = std::make_shared<RouteIndex>();
  std::shared_ptr<const WorkspaceIndex> workspaces =
    std::make_shared<WorkspaceIndex>();
};

}
