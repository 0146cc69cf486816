#include "baobab/node/route_table.hpp"

#include <algorithm>
#include <cctype>

namespace baobab {
namespace {

std::string
Lower(std::string_view aText)
{
  std::string lower(aText);
  std::ranges::transform(lower, lower.begin(), ::tolower);
  return lower;
}

using Routes = std::vector<std::shared_ptr<const ServiceRoute>>;

std::shared_ptr<const ServiceRoute>
LongestPrefix(const Routes& aRoutes, std::string_view aTarget)
{
  const auto found = std::ranges::find_if(aRoutes, [&](const auto& aRoute) {
    return aTarget.starts_with(aRoute->service->spec.pathPrefix);
  });
  return found == aRoutes.end() ? nullptr : *found;
}

void
SortByPrefix(Routes& aRoutes)
{
  std::ranges::stable_sort(
    aRoutes, std::ranges::greater{}, [](const auto& aRoute) {
      return aRoute->service->spec.pathPrefix.size();
    });
}

bool
IsRoutable(const MemberRecord& aMember)
{
  return !aMember.service.empty() &&
         aMember.targetState == TargetState::Ready &&
         (aMember.state == MemberState::Alive ||
          aMember.state == MemberState::Suspect);
}

}

std::shared_ptr<const ServiceRoute>
RouteTable::Find(std::string_view aHost, std::string_view aTarget) const
{
  const auto named = this->byHost.find(Lower(aHost));
  if (named != this->byHost.end()) {
    if (auto route = LongestPrefix(named->second, aTarget)) {
      return route;
    }
  }
  return LongestPrefix(this->anyHost, aTarget);
}

std::shared_ptr<const ServiceRoute>
RouteTable::Find(std::string_view aService) const
{
  const auto nameOf = [](const auto& aRoute) -> std::string_view {
    return aRoute->service->spec.name;
  };
  const auto found =
    std::ranges::lower_bound(this->routes, aService, {}, nameOf);
  return found != this->routes.end() && nameOf(*found) == aService ? *found
                                                                   : nullptr;
}

std::size_t
RouteTable::TargetCount() const
{
  std::size_t count = 0;
  for (const auto& route : this->routes) {
    for (const auto& tier : route->tiers) {
      count += tier.size();
    }
  }
  return count;
}

std::unique_ptr<RouteTable>
RouteBuilder::Build(const Configuration& aConfiguration,
                    const std::vector<MemberRecord>& aMembers,
                    std::vector<std::uint64_t> aSuspects)
{
  std::unordered_map<std::string_view, std::vector<const MemberRecord*>>
    byService;
  for (const MemberRecord& member : aMembers) {
    if (IsRoutable(member)) {
      byService[member.service].push_back(&member);
    }
  }
  auto table = std::make_unique<RouteTable>();
  table->generation = aConfiguration.Generation();
  std::ranges::sort(aSuspects);
  table->suspects = std::move(aSuspects);
  decltype(this->targets) kept;
  for (const auto& service : aConfiguration.Services()) {
    if (service->spec.retired) {
      continue;
    }
    auto route = std::make_shared<ServiceRoute>();
    route->service = service;
    route->state = this->StateOf(service->spec);
    for (const MemberRecord* member : byService[service->spec.name]) {
      const Tier tier = TierBetween(this->locality, member->locality);
      auto target = this->TargetOf(*member);
      kept[member->service][member->endpoint] = target;
      route->tiers[static_cast<std::size_t>(tier)].push_back(std::move(target));
    }
    table->routes.push_back(route);
    for (const std::string& host : service->spec.hosts) {
      table->byHost[Lower(host)].push_back(route);
    }
    if (service->spec.hosts.empty()) {
      table->anyHost.push_back(route);
    }
  }
  this->targets = std::move(kept);
  for (auto& [host, routes] : table->byHost) {
    SortByPrefix(routes);
  }
  SortByPrefix(table->anyHost);
  return table;
}

std::shared_ptr<ServiceState>
RouteBuilder::StateOf(const ServiceSpec& aSpec)
{
  auto& state = this->states[aSpec.name];
  if (!state) {
    state = std::make_shared<ServiceState>(aSpec);
  }
  state->retries.Configure(aSpec.retry.ratio, aSpec.retry.burst);
  return state;
}

std::shared_ptr<TargetRef>
RouteBuilder::TargetOf(const MemberRecord& aMember)
{
  auto& target = this->targets[aMember.service][aMember.endpoint];
  return target ? target
                : std::make_shared<TargetRef>(aMember.endpoint, aMember.slots);
}

}
