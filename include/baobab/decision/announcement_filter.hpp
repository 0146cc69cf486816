/// @file
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/decision/admission.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace baobab {

/// What a target says about one of its starts.
struct TargetAnnouncement
{
  Announcement announcement;
  Endpoint address;
  /// Identity of the target; empty if it has none and announces in order.
  std::string instance;
  /// Wall-clock start of the target in milliseconds; 0 if not said.
  std::int64_t startedAtMs = 0;
  /// Rises with each announcement of one start.
  std::int64_t sequence = 0;
};

/// Tells announcements of the target's present start from those that were
/// delayed: of an earlier start at the same address, of one that has said that
/// it is gone, or overtaken by a later one.
class AnnouncementFilter
{
public:
  /// Returns true if the announcement is news, and remembers it.
  bool Accept(const TargetAnnouncement& aAnnouncement);

  /// Records that a target said that it is gone. Returns true if it is the
  /// present one.
  bool RecordDeparture(std::string_view aInstance);

  /// The last announcement that was news.
  const TargetAnnouncement& Current() const { return this->current; }

private:
  TargetAnnouncement current;
  bool known = false;
  /// Latest start of each instance that is gone.
  std::map<std::string, std::int64_t, std::less<>> departed;
};

}
