#include "baobab/node/route_publisher.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"

#include <algorithm>

namespace baobab {
namespace {

void
LogMember(const MemberRecord& aMember)
{
  Log(kMemberState,
      aMember.endpoint,
      aMember.locality.zone,
      Name(aMember.state),
      aMember.service,
      Name(aMember.targetState),
      aMember.incarnation);
}

}

RoutePublisher::RoutePublisher(Membership& aMembership,
                               Quarantine& aQuarantine,
                               RcuCell<RouteTable>& aRoutes,
                               const Settings& aSettings)
  : membership(aMembership)
  , quarantine(aQuarantine)
  , routes(aRoutes)
  , live(aSettings.live)
  , builder(aSettings.locality)
  , configuration(std::make_shared<const Configuration>())
{
}

void
RoutePublisher::SetConfiguration(
  std::shared_ptr<const Configuration> aConfiguration)
{
  this->configuration = std::move(aConfiguration);
  this->builder.SetConfiguration(this->configuration);
  this->changed = true;
  this->Refresh(Now());
}

void
RoutePublisher::SetLiveSettings(const LiveSettings& aLive)
{
  this->live = aLive;
  this->changed = true;
  this->Refresh(Now());
}

void
RoutePublisher::SetEvacuatedZones(std::vector<std::string> aZones)
{
  this->builder.SetEvacuatedZones(std::move(aZones));
  this->changed = true;
  this->Refresh(Now());
}

void
RoutePublisher::Refresh(TimePoint aNow)
{
  const auto silent = this->membership.SilentRegions(aNow);
  if (!this->changed && silent == this->silentRegions &&
      this->publishedVersion == this->membership.Version()) {
    return;
  }
  this->changed = false;
  this->publishedVersion = this->membership.Version();
  this->silentRegions = silent;
  this->builder.SetSilentRegions(silent);
  for (const Endpoint& endpoint : this->membership.TakeChanged()) {
    if (const MemberRecord* member = this->membership.Find(endpoint)) {
      LogMember(*member);
      this->builder.Update(*member);
    }
  }
  auto table = this->builder.Build(this->quarantine.Suspects(aNow));
  table->live = this->live;
  this->DivideBudgets(*table, aNow);
  this->routes.Replace(std::move(table));
}

void
RoutePublisher::DivideBudgets(const RouteTable& aTable, TimePoint aNow)
{
  const std::int64_t daemons = this->membership.SpenderCount(aNow);
  const bool settled = this->membership.IsSettled(aNow);
  std::ranges::for_each(aTable.serviceRoutes, [&](const auto& aRoute) {
    const ServiceSpec& spec = aRoute->service->spec;
    const auto share = [&](std::int64_t aRate) {
      return ShareOf(aRate, daemons, settled);
    };
    const RetryShare retries = ShareOfRetries(
      this->live.retries.ratio, this->live.retries.fleetBurst, daemons);
    aRoute->state->retryBudget.Configure(
      std::min(spec.retry.ratio, retries.ratio),
      std::min(spec.retry.burst, retries.burst));
    aRoute->state->measurementBudget.SetRate(
      share(spec.measuring.bytesPerSecond));
    aRoute->state->crossRegionMeasurementBudget.SetRate(
      share(spec.measuring.crossRegionBytesPerSecond));
    aRoute->state->crossRegionCallBudget.SetRate(
      share(spec.spill.bytesPerSecond));
  });
}

void
RoutePublisher::LogDeniedRetries() const
{
  this->routes.Read([](const RouteTable& aTable) {
    for (const auto& route : aTable.serviceRoutes) {
      if (const auto denied = route->state->retryBudget.TakeDenied();
          denied > 0) {
        Log(kRetriesDenied, route->service->spec.name, denied);
      }
    }
  });
}

}
