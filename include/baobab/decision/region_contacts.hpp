/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace baobab {

/// Time since something from a region was received, as spread by gossip.
struct RegionAge
{
  std::string region;
  Millis age{ 0 };

  bool operator==(const RegionAge&) const = default;
};

/// When something from each region was last received, by this daemon or by
/// those whose gossip it receives.
class RegionContacts
{
public:
  /// Time without contact after which a region counts as disconnected.
  static constexpr Duration kSilenceTimeout = 20s;

  /// Records that something from a region was received.
  void RecordContact(const std::string& aRegion, TimePoint aNow);

  /// Merges a contact that another daemon reports.
  void Merge(const RegionAge& aContact, TimePoint aNow);

  /// Regions with a recent contact, to pass on.
  std::vector<RegionAge> Ages(TimePoint aNow) const;

  /// True if there was a contact with the region, but not within
  /// kSilenceTimeout.
  bool IsSilent(const std::string& aRegion, TimePoint aNow) const;

  /// True if there was a contact with the region after a time point, and its
  /// members have had the time to refute a suspicion since the region was last
  /// silent.
  bool HadContactSince(const std::string& aRegion,
                       TimePoint aSince,
                       TimePoint aNow) const;

private:
  struct Contact
  {
    TimePoint lastContactAt;
    /// First contact after the last silence.
    TimePoint resumedAt;
  };

  void Update(const std::string& aRegion, TimePoint aContactAt, TimePoint aNow);

  std::unordered_map<std::string, Contact> contacts;
};

}
