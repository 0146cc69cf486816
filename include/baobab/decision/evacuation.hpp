/// @file
/// Evacuated availability zones, whose targets get no more calls.
#pragma once

#include "baobab/core/time.hpp"
#include "baobab/decision/member.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace baobab {

/// The availability zones that are evacuated at a revision of the store.
struct EvacuatedZones
{
  /// Higher revisions of an era are newer; 0: not known.
  std::int64_t revision = 0;
  /// Sorted.
  std::vector<std::string> zones;
  /// Rises when the store has lost its latest revisions, which are then given
  /// out again; a later era is newer whatever the revision. 0: not known.
  std::int64_t era = 0;

  /// True if this state is from a later point in the store's history.
  bool IsNewerThan(const EvacuatedZones& aOther) const
  {
    return std::pair{ this->era, this->revision } >
           std::pair{ aOther.era, aOther.revision };
  }

  bool operator==(const EvacuatedZones&) const = default;
};

/// What this daemon knows of evacuations, from the store and from other
/// daemons. The newest state counts, in whatever order messages arrive.
class Evacuations
{
public:
  /// Merges what the store or another daemon says. Returns true if other zones
  /// are evacuated now.
  bool Merge(EvacuatedZones aZones, TimePoint aNow);

  /// True if calls must not be sent to targets of a zone.
  bool Contains(std::string_view aZone) const;

  /// True once anything was learned.
  bool Known() const { return this->current.revision > 0; }

  const EvacuatedZones& Current() const { return this->current; }

  /// What to tell other daemons: nothing if there is no evacuation and none has
  /// ended lately.
  std::optional<EvacuatedZones> ToSpread(TimePoint aNow) const;

private:
  EvacuatedZones current;
  /// Time until which daemons are told that no zone is evacuated.
  TimePoint spreadUntil;
};

/// Capacity of a service with and without the targets of some zones.
struct ServiceCapacity
{
  std::string service;
  std::uint32_t slots = 0;
  std::uint32_t slotsLeft = 0;

  bool operator==(const ServiceCapacity&) const = default;
};

/// Returns the service of which the smallest part of its capacity is left
/// without the targets of the zones; nothing if no target is ready.
std::optional<ServiceCapacity> LeastCapacityLeft(
  const std::vector<MemberRecord>& aMembers,
  const std::vector<std::string>& aZones);

}
