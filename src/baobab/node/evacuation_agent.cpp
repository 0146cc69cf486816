#include "baobab/node/evacuation_agent.hpp"

#include "baobab/decision/rendezvous.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <ranges>

namespace baobab {
namespace {

constexpr std::string_view kReaderRole = "evacuation-reader";

constexpr Duration kWatchTimeout = 20s;
constexpr Duration kRoleCheckPeriod = 500ms;

/// Mean time between attempts while the store fails.
constexpr Duration kRetryInterval = 2s;

/// Mean time after a watch that returned early without a change.
constexpr Duration kEarlyReturnPause = 500ms;

}

EvacuationAgent::EvacuationAgent(std::unique_ptr<EvacuationSource> aSource,
                                 Membership& aMembership,
                                 const Settings& aSettings)
  : source(std::move(aSource))
  , membership(aMembership)
  , settings(aSettings)
  , random(EntropySeed())
{
}

void
EvacuationAgent::Run()
{
  if (!this->source || this->settings.evacuation.time == Duration::zero()) {
    return;
  }
  while (!this->evacuations.Known()) {
    const auto read = this->source->ReadCached();
    if (Succeeded(read)) {
      this->Merge(Value(read));
    } else {
      this->Pause(kRetryInterval);
    }
  }
  while (true) {
    if (this->IsReader()) {
      this->WatchStore();
    } else {
      boost::this_fiber::sleep_for(kRoleCheckPeriod);
    }
  }
}

void
EvacuationAgent::Merge(const EvacuatedZones& aZones)
{
  const std::vector<std::string> before = this->evacuations.Current().zones;
  if (!this->evacuations.Merge(aZones, Now())) {
    return;
  }
  this->LogChange(before);
  if (this->onChanged) {
    this->onChanged();
  }
}

/// True if this daemon watches the store on behalf of its availability zone. A
/// daemon that has just started does not know its zone's members yet.
bool
EvacuationAgent::IsReader() const
{
  if (!this->membership.IsSettled(Now())) {
    return false;
  }
  const auto readers = RendezvousPick(
    this->membership.ZoneMembers(),
    kReaderRole,
    static_cast<std::size_t>(this->settings.control.readersPerZone));
  return std::ranges::find(readers, this->membership.Self().endpoint) !=
         readers.end();
}

void
EvacuationAgent::WatchStore()
{
  const TimePoint began = Now();
  const EvacuatedZones before = this->evacuations.Current();
  const auto read = this->source->Watch(kWatchTimeout);
  if (!Succeeded(read)) {
    this->Pause(kRetryInterval);
    return;
  }
  this->Merge(Value(read));
  if (Now() - began < kEarlyReturnPause &&
      !this->evacuations.Current().IsNewerThan(before)) {
    this->Pause(kEarlyReturnPause);
  }
}

void
EvacuationAgent::LogChange(const std::vector<std::string>& aBefore) const
{
  const std::vector<std::string>& zones = this->evacuations.Current().zones;
  const auto notIn = [](const std::vector<std::string>& aZones) {
    return [&aZones](const std::string& aZone) {
      return std::ranges::find(aZones, aZone) == aZones.end();
    };
  };
  const auto capacity =
    LeastCapacityLeft(this->membership.LiveMembers(Now()), zones)
      .value_or(ServiceCapacity{});
  for (const std::string& zone : zones | std::views::filter(notIn(aBefore))) {
    Log(kZoneEvacuated,
        zone,
        capacity.service,
        capacity.slotsLeft,
        capacity.slots);
  }
  for (const std::string& zone : aBefore | std::views::filter(notIn(zones))) {
    Log(kZoneRestored, zone);
  }
}

void
EvacuationAgent::Pause(Duration aMean)
{
  const double jitter = 0.5 + UniformFraction(this->random);
  boost::this_fiber::sleep_for(
    std::chrono::duration_cast<Duration>(aMean * jitter));
}

}
