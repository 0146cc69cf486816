#include "baobab/node/route_index.hpp"

#include <cctype>
#include <ranges>

namespace baobab {
namespace {

std::string
ToLower(std::string_view aText)
{
  std::string lower(aText);
  std::ranges::transform(lower, lower.begin(), ::tolower);
  return lower;
}

/// Key of routes without a host.
const std::string kAnyHost;

}

RouteIndex::RouteIndex(const Configuration& aConfiguration,
                       RouteStates& aStates)
{
  RouteStates retained;
  const auto isActive = [](const auto& aService) {
    return !aService->spec.retired;
  };
  for (const auto& owner :
       aConfiguration.Services() | std::views::filter(isActive)) {
    for (RouteSpec& spec : RoutesOf(owner->spec)) {
      const std::string key = spec.host + spec.pathPrefix;
      auto& state = retained[key];
      if (const auto previous = aStates.find(key); previous != aStates.end()) {
        state = previous->second;
      }
      if (!state) {
        state = std::make_shared<RouteState>();
      }
      this->Add(
        std::make_shared<Route>(Route{ std::move(spec), owner, state }));
    }
  }
  for (auto& [host, routes] : this->byHost) {
    std::ranges::sort(routes.lengths, std::ranges::greater{});
  }
  aStates = std::move(retained);
}

std::shared_ptr<const Route>
RouteIndex::Find(std::string_view aHost, std::string_view aRequestTarget) const
{
  for (const std::string& host : { ToLower(aHost), kAnyHost }) {
    const auto entry = this->byHost.find(host);
    if (entry == this->byHost.end()) {
      continue;
    }
    if (auto route = LongestPrefix(entry->second, aRequestTarget)) {
      return route;
    }
  }
  return nullptr;
}

std::shared_ptr<const Route>
RouteIndex::LongestPrefix(const HostRoutes& aRoutes,
                          std::string_view aRequestTarget)
{
  for (const std::size_t length : aRoutes.lengths) {
    if (length > aRequestTarget.size()) {
      continue;
    }
    const auto found = aRoutes.byPrefix.find(aRequestTarget.substr(0, length));
    if (found != aRoutes.byPrefix.end()) {
      return found->second;
    }
  }
  return nullptr;
}

void
RouteIndex::Add(const std::shared_ptr<const Route>& aRoute)
{
  HostRoutes& routes = this->byHost[ToLower(aRoute->spec.host)];
  const std::string_view prefix = aRoute->spec.pathPrefix;
  if (std::ranges::find(routes.lengths, prefix.size()) ==
      routes.lengths.end()) {
    routes.lengths.push_back(prefix.size());
  }
  // If two files declare the same route, the first one takes precedence.
  routes.byPrefix.try_emplace(prefix, aRoute);
}

}
