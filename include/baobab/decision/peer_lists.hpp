/// @file
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/random.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace baobab {

/// The other members by region, and the order in which the members of this
/// daemon's region are probed.
class PeerLists
{
public:
  explicit PeerLists(std::string aOwnRegion)
    : ownRegion(std::move(aOwnRegion))
  {
  }

  /// Adds a member at a random index of its region's list.
  template<RandomSource R>
  void Add(const Endpoint& aEndpoint, const std::string& aRegion, R& aRandom)
  {
    auto& list = this->regions[aRegion];
    const std::size_t index = UniformBelow(aRandom, list.size() + 1);
    list.push_back(aEndpoint);
    std::swap(list[index], list.back());
  }

  /// Removes the members for which a predicate is false.
  template<class P>
  void RetainIf(P aPredicate)
  {
    for (auto& [region, list] : this->regions) {
      std::erase_if(list, std::not_fn(aPredicate));
    }
    std::erase_if(this->regions,
                  [](const auto& aItem) { return aItem.second.empty(); });
  }

  /// The next member of this daemon's region in probing order, if any. The
  /// order is shuffled again after each round.
  template<RandomSource R>
  std::optional<Endpoint> NextInOwnRegion(R& aRandom)
  {
    const auto own = this->regions.find(this->ownRegion);
    if (own == this->regions.end()) {
      return std::nullopt;
    }
    if (this->position >= own->second.size()) {
      std::ranges::shuffle(own->second, aRandom);
      this->position = 0;
    }
    return own->second[this->position++];
  }

  /// A random member of a region, if any.
  template<RandomSource R>
  std::optional<Endpoint> RandomInRegion(const std::string& aRegion,
                                         R& aRandom) const
  {
    const auto found = this->regions.find(aRegion);
    if (found == this->regions.end()) {
      return std::nullopt;
    }
    return found->second[UniformBelow(aRandom, found->second.size())];
  }

  /// Regions other than this daemon's.
  std::vector<std::string> OtherRegions() const
  {
    std::vector<std::string> others;
    for (const auto& [region, list] : this->regions) {
      if (region != this->ownRegion) {
        others.push_back(region);
      }
    }
    return others;
  }

  /// Number of other members in this daemon's region.
  std::size_t OwnRegionSize() const
  {
    const auto own = this->regions.find(this->ownRegion);
    return own == this->regions.end() ? 0 : own->second.size();
  }

private:
  std::string ownRegion;
  std::map<std::string, std::vector<Endpoint>> regions;
  std::size_t position = 0;
};

}
