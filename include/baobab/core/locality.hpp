/// @file
#pragma once

#include <cstdint>
#include <string>

namespace baobab {

/// Where a host stands.
struct Locality
{
  std::string region;
  std::string zone;

  bool operator==(const Locality&) const = default;
};

/// Distance between two hosts, nearest first.
enum class Tier : std::uint8_t
{
  SameZone,
  SameRegion,
  OtherRegion,
};

constexpr std::size_t kTierCount = 3;

/// Returns the distance between two localities.
inline Tier
TierBetween(const Locality& aFrom, const Locality& aTo)
{
  if (aFrom.region != aTo.region) {
    return Tier::OtherRegion;
  }
  return aFrom.zone == aTo.zone ? Tier::SameZone : Tier::SameRegion;
}

}
