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

/// A route of the configuration and what was learned about it.
struct Route
{
  RouteSpec spec;
  /// Service whose file declares the route.
  std::shared_ptr<const ConfiguredService> owner;
  std::shared_ptr<RouteState> state;

  /// Picks one of the services that answer the route, by weight.
  template<RandomSource R>
  const std::string& PickService(R& aRandom) const
  {
    std::int64_t total = 0;
    for (const RoutePart& part : this->spec.parts) {
      total += part.weight;
    }
    auto drawn = static_cast<std::int64_t>(Below(
      aRandom, static_cast<std::uint64_t>(std::max<std::int64_t>(1, total))));
    const auto picked =
      std::ranges::find_if(this->spec.parts, [&](const RoutePart& aPart) {
        drawn -= aPart.weight;
        return drawn < 0;
      });
    return picked == this->spec.parts.end() ? this->spec.parts.front().service
                                            : picked->service;
  }
};

/// What was learned about routes, by host and path prefix.
using RouteStates =
  std::unordered_map<std::string, std::shared_ptr<RouteState>>;

/// The routes of one configuration. Never changed once built.
class RouteIndex
{
public:
  RouteIndex() = default;

  /// @param aLearned carried from one index to the next; what no route needs
  ///   any more is left out
  RouteIndex(const Configuration& aConfiguration, RouteStates& aLearned);

  /// Finds the route of a request: a named host before none, then the longest
  /// path prefix that matches.
  std::shared_ptr<const Route> Find(std::string_view aHost,
                                    std::string_view aTarget) const;

private:
  using ByPrefix =
    std::unordered_map<std::string_view, std::shared_ptr<const Route>>;

  struct HostRoutes
  {
    /// Keys view the routes' own prefixes.
    ByPrefix byPrefix;
    /// Lengths of the prefixes, longest first.
    std::vector<std::size_t> lengths;
  };

  static std::shared_ptr<const Route> LongestPrefix(const HostRoutes& aRoutes,
                                                    std::string_view aTarget);
  void Add(const std::shared_ptr<const Route>& aRoute);

  std::unordered_map<std::string, HostRoutes> byHost;
};

}
