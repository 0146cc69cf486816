#include "baobab/node/route_table.hpp"

#include <algorithm>
#include <ranges>

namespace baobab {
namespace {

/// Lowers each limit to that of the other set if it is lower.
void
Tighten(CallerLimits& aLimits, const CallerLimits& aOther)
{
  aLimits.headerBytes = std::min(aLimits.headerBytes, aOther.headerBytes);
  aLimits.bodyBytes = std::min(aLimits.bodyBytes, aOther.bodyBytes);
  aLimits.headerTime = std::min(aLimits.headerTime, aOther.headerTime);
  aLimits.idleTime = std::min(aLimits.idleTime, aOther.idleTime);
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
RouteTable::FindService(std::string_view aService) const
{
  const auto nameOf = [](const auto& aRoute) -> std::string_view {
    return aRoute->service->spec.name;
  };
  const auto found =
    std::ranges::lower_bound(this->serviceRoutes, aService, {}, nameOf);
  return found != this->serviceRoutes.end() && nameOf(*found) == aService
           ? *found
           : nullptr;
}

std::size_t
RouteTable::TargetCount() const
{
  std::size_t count = 0;
  for (const auto& route : this->serviceRoutes) {
    for (const auto& tier : route->tiers) {
      count += tier.size();
    }
  }
  return count;
}

void
RouteTableBuilder::Update(const MemberRecord& aMember)
{
  const auto known = this->serviceOf.find(aMember.endpoint);
  const bool routable = IsRoutable(aMember);
  if (known != this->serviceOf.end() &&
      (!routable || known->second != aMember.service)) {
    this->RemoveTarget(aMember.endpoint);
  }
  if (!routable) {
    return;
  }
  Service& service = this->services[aMember.service];
  const auto [found, added] = service.targets.try_emplace(aMember.endpoint);
  Target& target = found->second;
  if (added || target.locality != aMember.locality) {
    target.entry = std::make_shared<TargetEntry>(
      aMember.endpoint, aMember.slots, aMember.locality);
    this->serviceOf[aMember.endpoint] = aMember.service;
    target.locality = aMember.locality;
    service.changed = true;
  }
}

void
RouteTableBuilder::RemoveTarget(const Endpoint& aEndpoint)
{
  const auto known = this->serviceOf.find(aEndpoint);
  Service& service = this->services.at(known->second);
  service.targets.erase(aEndpoint);
  service.changed = true;
  this->serviceOf.erase(known);
}

void
RouteTableBuilder::SetSilentRegions(std::vector<std::string> aRegions)
{
  if (aRegions == this->silentRegions) {
    return;
  }
  this->silentRegions = std::move(aRegions);
  for (auto& [name, service] : this->services) {
    service.changed = true;
  }
}

void
RouteTableBuilder::SetEvacuatedZones(std::vector<std::string> aZones)
{
  if (aZones == this->evacuatedZones) {
    return;
  }
  this->evacuatedZones = std::move(aZones);
  for (auto& [name, service] : this->services) {
    service.changed = true;
  }
}

bool
RouteTableBuilder::IsExcluded(const Locality& aLocality) const
{
  const auto contains = [](const auto& aNames, const std::string& aName) {
    return std::ranges::find(aNames, aName) != aNames.end();
  };
  return contains(this->silentRegions, aLocality.region) ||
         contains(this->evacuatedZones, aLocality.zone);
}

void
RouteTableBuilder::SetConfiguration(
  std::shared_ptr<const Configuration> aConfiguration)
{
  this->configuration = std::move(aConfiguration);
  this->index =
    std::make_shared<const RouteIndex>(*this->configuration, this->routeStates);
  this->workspaces =
    std::make_shared<const WorkspaceIndex>(*this->configuration);
}

std::unique_ptr<RouteTable>
RouteTableBuilder::Build(std::vector<Suspect> aSuspects)
{
  auto table = std::make_unique<RouteTable>();
  std::ranges::sort(aSuspects, {}, &Suspect::fingerprint);
  table->suspects = std::move(aSuspects);
  table->generation = this->configuration->Generation();
  table->index = this->index;
  table->workspaces = this->workspaces;
  const auto isActive = [](const auto& aService) {
    return !aService->spec.retired;
  };
  for (const auto& configured :
       this->configuration->Services() | std::views::filter(isActive)) {
    table->serviceRoutes.push_back(this->ServiceRouteOf(configured));
    Tighten(table->callerLimits, configured->spec.callers);
  }
  return table;
}

std::shared_ptr<const ServiceRoute>
RouteTableBuilder::ServiceRouteOf(
  const std::shared_ptr<const ConfiguredService>& aService)
{
  Service& service = this->services[aService->spec.name];
  if (!service.changed && service.route && service.route->service == aService) {
    return service.route;
  }
  if (!service.state) {
    service.state = std::make_shared<ServiceState>(aService->spec);
  }
  const RetrySpec& retry = aService->spec.retry;
  service.state->retryBudget.Configure(retry.ratio, retry.burst);
  auto route = std::make_shared<ServiceRoute>();
  route->service = aService;
  route->state = service.state;
  for (const auto& [endpoint, target] : service.targets) {
    if (!this->IsExcluded(target.locality)) {
      const Tier tier = TierBetween(this->locality, target.locality);
      route->tiers[static_cast<std::size_t>(tier)].push_back(target.entry);
    }
  }
  service.route = std::move(route);
  service.changed = false;
  return service.route;
}

}
