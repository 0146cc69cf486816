#include "baobab/decision/evacuation.hpp"

#include <algorithm>
#include <map>

namespace baobab {
namespace {

/// Time for which the end of all evacuations is told to other daemons. One that
/// was cut off for longer is told when it names zones that are none any more.
constexpr Duration kSpreadTime = 60s;

}

bool
Evacuations::Merge(EvacuatedZones aZones, TimePoint aNow)
{
  std::ranges::sort(aZones.zones);
  const auto repeated = std::ranges::unique(aZones.zones);
  aZones.zones.erase(repeated.begin(), repeated.end());
  const bool changed = aZones.zones != this->current.zones;
  if (changed) {
    this->spreadUntil = aNow + kSpreadTime;
  }
  if (!aZones.IsNewerThan(this->current)) {
    return false;
  }
  this->current = std::move(aZones);
  return changed;
}

bool
Evacuations::Contains(std::string_view aZone) const
{
  return std::ranges::binary_search(
    this->current.zones, aZone, std::ranges::less());
}

std::optional<EvacuatedZones>
Evacuations::ToSpread(TimePoint aNow) const
{
  const bool spread = !this->current.zones.empty() || aNow < this->spreadUntil;
  return this->Known() && spread ? std::optional(this->current) : std::nullopt;
}

std::optional<ServiceCapacity>
LeastCapacityLeft(const std::vector<MemberRecord>& aMembers,
                  const std::vector<std::string>& aZones)
{
  std::map<std::string, ServiceCapacity> services;
  for (const MemberRecord& member : aMembers) {
    if (member.service.empty() || member.targetState != TargetState::Ready ||
        member.state == MemberState::Dead) {
      continue;
    }
    ServiceCapacity& capacity = services[member.service];
    capacity.service = member.service;
    capacity.slots += member.slots;
    const bool left =
      std::ranges::find(aZones, member.locality.zone) == aZones.end();
    capacity.slotsLeft += left ? member.slots : 0U;
  }
  const auto partLeft = [](const auto& aItem) {
    return static_cast<double>(aItem.second.slotsLeft) /
           std::max(1U, aItem.second.slots);
  };
  const auto least = std::ranges::min_element(services, {}, partLeft);
  return least == services.end() ? std::nullopt : std::optional(least->second);
}

}
