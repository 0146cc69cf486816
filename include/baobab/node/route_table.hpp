/// @file
/// The immutable view by which calls are routed.
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/locality.hpp"
#include "baobab/decision/breaker.hpp"
#include "baobab/decision/configuration.hpp"
#include "baobab/decision/member.hpp"
#include "baobab/decision/target_load.hpp"
#include "baobab/node/service_state.hpp"

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace baobab {

/// A target and what this daemon knows about it.
struct TargetRef
{
  TargetRef(Endpoint aEndpoint, std::uint16_t aSlots)
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
  std::array<std::vector<std::shared_ptr<TargetRef>>, kTierCount> tiers;
};

/// All services. Never changed once built.
class RouteTable
{
public:
  /// Finds the service of a request: the longest matching path prefix, and a
  /// named host before none.
  std::shared_ptr<const ServiceRoute> Find(std::string_view aHost,
                                           std::string_view aTarget) const;

  /// Finds a service by name.
  std::shared_ptr<const ServiceRoute> Find(std::string_view aService) const;

  /// Targets of all services that may be chosen.
  std::size_t TargetCount() const;

  std::vector<std::shared_ptr<const ServiceRoute>> routes;
  /// Requests under suspicion, sorted.
  std::vector<std::uint64_t> suspects;
  std::uint64_t generation = 0;

private:
  friend class RouteBuilder;
  std::unordered_map<std::string,
                     std::vector<std::shared_ptr<const ServiceRoute>>>
    byHost;
  std::vector<std::shared_ptr<const ServiceRoute>> anyHost;
};

/// Builds tables and carries the state of services and targets from one to
/// the next.
class RouteBuilder
{
public:
  explicit RouteBuilder(Locality aLocality)
    : locality(std::move(aLocality))
  {
  }

  std::unique_ptr<RouteTable> Build(const Configuration& aConfiguration,
                                    const std::vector<MemberRecord>& aMembers,
                                    std::vector<std::uint64_t> aSuspects);

private:
  std::shared_ptr<ServiceState> StateOf(const ServiceSpec& aSpec);
  std::shared_ptr<TargetRef> TargetOf(const MemberRecord& aMember);

  Locality locality;
  std::unordered_map<std::string, std::shared_ptr<ServiceState>> states;
  /// Targets by endpoint and service; a target that changes service is new.
  std::unordered_map<std::string,
                     std::unordered_map<Endpoint, std::shared_ptr<TargetRef>>>
    targets;
};

}
