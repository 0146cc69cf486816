/// @file
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

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

/// Returns the name of a distance in logs.
constexpr std::string_view
Name(Tier aTier)
{
  constexpr std::array<std::string_view, kTierCount> kNames = {
    "same-zone", "same-region", "other-region"
  };
  return kNames[static_cast<std::size_t>(aTier)];
}

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
