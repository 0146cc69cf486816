/// @file
#pragma once

#include "baobab/core/random.hpp"
#include "baobab/decision/configuration.hpp"
#include "baobab/node/route_state.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace baobab {

/// A route of the configuration with its learned state.
struct Route
{
  RouteSpec spec;
  /// Service whose file declares the route. Its calls may go to other services,
  /// see PickService().
  std::shared_ptr<const ConfiguredService> owner;
  std::shared_ptr<RouteState> state;

  /// Picks one of the services that answer the route, at random by weight.
  template<RandomSource R>
  const std::string& PickService(R& aRandom) const
  {
    std::int64_t total = 0;
    for (const WeightedService& part : this->spec.split) {
      total += part.weight;
    }
    auto remaining = static_cast<std::int64_t>(UniformBelow(
      aRandom, static_cast<std::uint64_t>(std::max<std::int64_t>(1, total))));
    const auto picked =
      std::ranges::find_if(this->spec.split, [&](const WeightedService& aPart) {
        remaining -= aPart.weight;
        return remaining < 0;
      });
    return picked == this->spec.split.end() ? this->spec.split.front().service
                                            : picked->service;
  }
};

/// State of routes, by host followed by path prefix.
using RouteStates =
  std::unordered_map<std::string, std::shared_ptr<RouteState>>;

/// The routes of one configuration, by host and path prefix. Immutable.
class RouteIndex
{
public:
  RouteIndex() = default;

  /// @param aStates state carried over from the previous index; entries without
  ///   a route are removed
  RouteIndex(const Configuration& aConfiguration, RouteStates& aStates);

  /// Finds the route of a request: routes with its host take precedence over
  /// those without a host, then the longest matching path prefix wins.
  /// @param aRequestTarget path and query of the request
  std::shared_ptr<const Route> Find(std::string_view aHost,
                                    std::string_view aRequestTarget) const;

private:
  using ByPrefix =
    std::unordered_map<std::string_view, std::shared_ptr<const Route>>;

  struct HostRoutes
  {
    /// The keys point into the prefixes of the routes.
    ByPrefix byPrefix;
    /// Distinct lengths of the prefixes, longest first.
    std::vector<std::size_t> lengths;
  };

  static std::shared_ptr<const Route> LongestPrefix(
    const HostRoutes& aRoutes,
    std::string_view aRequestTarget);
  void Add(const std::shared_ptr<const Route>& aRoute);

  std::unordered_map<std::string, HostRoutes> byHost;
};

}
