/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace baobab {

/// How long ago a region was heard, as it is spread by gossip.
struct RegionAge
{
  std::string region;
  Millis age{ 0 };

  bool operator==(const RegionAge&) const = default;
};

/// When each region was last heard, by this daemon or by those it hears.
class RegionContacts
{
public:
  /// Silence after which a region counts as parted.
  static constexpr Duration kSilence = 20s;

  /// Records that something from a region arrived.
  void RecordContact(const std::string& aRegion, TimePoint aNow);

  /// Takes over what another daemon heard.
  void Merge(const RegionAge& aContact, TimePoint aNow);

  /// Ages to pass on.
  std::vector<RegionAge> Ages(TimePoint aNow) const;

  /// True if a region that was heard before is silent now.
  bool IsSilent(const std::string& aRegion, TimePoint aNow) const;

  /// True if the region was heard after a time point, and for long enough
  /// since a silence that its members could refute what was said of them.
  bool WasHeardSince(const std::string& aRegion,
                     TimePoint aSince,
                     TimePoint aNow) const;

private:
  struct Contact
  {
    TimePoint heardAt;
    /// First contact after the last silence.
    TimePoint backAt;
  };

  void Touch(const std::string& aRegion, TimePoint aHeardAt, TimePoint aNow);

  std::unordered_map<std::string, Contact> contacts;
};

}
