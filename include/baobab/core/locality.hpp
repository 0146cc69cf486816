/// @file
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace baobab {

/// Location of a host.
struct Locality
{
  std::string region;
  /// Availability zone.
  std::string zone;

  bool operator==(const Locality&) const = default;
};

/// Distance between two hosts, in increasing order.
enum class Tier : std::uint8_t
{
  SameZone,
  SameRegion,
  OtherRegion,
};

/// Number of values of Tier.
constexpr std::size_t kTierCount = 3;

/// Returns the name of a tier as used in logs.
constexpr std::string_view
Name(Tier aTier)
{
  constexpr std::array<std::string_view, kTierCount> kNames = {
    "same-zone", "same-region", "other-region"
  };
  return kNames[static_cast<std::size_t>(aTier)];
}

/// Returns the tier of the distance between two localities.
inline Tier
TierBetween(const Locality& aFrom, const Locality& aTo)
{
  if (aFrom.region != aTo.region) {
    return Tier::OtherRegion;
  }
  return aFrom.zone == aTo.zone ? Tier::SameZone : Tier::SameRegion;
}

}
