/// @file
/// The immutable view by which calls are routed.
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/locality.hpp"
#include "baobab/core/settings.hpp"
#include "baobab/decision/breaker.hpp"
#include "baobab/decision/configuration.hpp"
#include "baobab/decision/member.hpp"
#include "baobab/decision/target_load.hpp"
#include "baobab/node/route_index.hpp"
#include "baobab/node/service_state.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace baobab {

/// A target and what this daemon knows about it.
struct TargetEntry
{
  TargetEntry(Endpoint aEndpoint, std::uint16_t aSlots)
    : endpoint(aEndpoint)
    , load(aSlots)
  {
  }

  Endpoint endpoint;
  TargetLoad load;
  Breaker breaker;
};

/// A service with its targets by distance.
struct ServiceRoute
{
  std::shared_ptr<const ConfiguredService> service;
  std::shared_ptr<ServiceState> state;
  std::array<std::vector<std::shared_ptr<TargetEntry>>, kTierCount> tiers;
};

/// All services. Never changed once built.
class RouteTable
{
public:
  /// Finds the route of a request: the longest matching path prefix, and a
  /// named host before none.
  std::shared_ptr<const Route> FindRoute(std::string_view aHost,
                                         std::string_view aTarget) const
  {
    return this->index->Find(aHost, aTarget);
  }

  /// Finds a service by name.
  std::shared_ptr<const ServiceRoute> FindService(
    std::string_view aService) const;

  /// Targets of all services that may be chosen.
  std::size_t TargetCount() const;

  std::vector<std::shared_ptr<const ServiceRoute>> serviceRoutes;
  /// Requests under suspicion, sorted.
  std::vector<std::uint64_t> suspects;
  /// Generation of the configuration; 0 if none is known yet.
  std::uint64_t generation = 0;
  /// The tightest limits of all service files.
  CallerLimits callerLimits;
  LiveSettings live;
  std::shared_ptr<const RouteIndex> index = std::make_shared<RouteIndex>();
};

/// Builds tables out of changes, and carries the state of services and
/// targets from one table to the next. Routes of services that did not change
/// are shared with the last table.
class RouteTableBuilder
{
public:
  explicit RouteTableBuilder(Locality aLocality)
    : locality(std::move(aLocality))
  {
  }

  /// Takes over a member's record.
  void Update(const MemberRecord& aMember);

  /// Leaves out the targets of these regions.
  void SetSilentRegions(std::vector<std::string> aRegions);

  /// Takes over a configuration.
  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);

  /// Builds the next table.
  std::unique_ptr<RouteTable> Build(std::vector<std::uint64_t> aSuspects);

private:
  struct Target
  {
    Locality locality;
    std::shared_ptr<TargetEntry> ref;
  };

  struct Service
  {
    std::shared_ptr<ServiceState> state;
    std::map<Endpoint, Target> targets;
    std::shared_ptr<const ServiceRoute> route;
    bool changed = true;
  };

  std::shared_ptr<const ServiceRoute> RouteOf(
    const std::shared_ptr<const ConfiguredService>& aService);
  void Withdraw(const Endpoint& aEndpoint);

  Locality locality;
  std::vector<std::string> silentRegions;
  std::unordered_map<std::string, Service> services;
  /// Service under which each target stands.
  std::unordered_map<Endpoint, std::string> serviceOf;
  RouteStates learned;
  std::shared_ptr<const Configuration> configuration =
    std::make_shared<const Configuration>();
  /// Built with the configuration; members come and go without it.
  std::shared_ptr<const RouteIndex> index = std::make_shared<RouteIndex>();
};

}
