#pragma once

#include <algorithm>
#include <span>
#include <string>
#include <string_view>

namespace baobab {

/// Regions to which a call is confined by its route and by its workspace. Both
/// lists apply; an empty one allows every region.
struct RegionLimits
{
  std::span<const std::string> route;
  std::span<const std::string> workspace;

  /// True if the call may be served in a region.
  bool Allows(std::string_view aRegion) const
  {
    const auto contains = [&](std::span<const std::string> aRegions) {
      return aRegions.empty() ||
             std::ranges::find(aRegions, aRegion) != aRegions.end();
    };
    return contains(this->route) && contains(this->workspace);
  }

  /// True if some region may not serve the call.
  bool Confined() const
  {
    return !this->route.empty() || !this->workspace.empty();
  }
};

}
