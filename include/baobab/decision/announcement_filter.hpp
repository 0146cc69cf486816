/// @file
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/decision/admission.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace baobab {

/// An announcement with the identity of the target process that sent it.
struct TargetAnnouncement
{
  Announcement announcement;
  Endpoint address;
  /// Instance that the target names; empty if it names none. Announcements
  /// without an instance are always accepted.
  std::string instance;
  /// Wall-clock time of the target's start in milliseconds since 1970; 0 if not
  /// given.
  std::int64_t startedAtMs = 0;
  /// Increases with each announcement of the same start.
  std::int64_t sequence = 0;
};

/// Accepts the announcements of the target's latest start and rejects delayed
/// ones: those of an earlier start at the same address, those of a start that
/// has announced its departure, and those that arrive after a later one.
class AnnouncementFilter
{
public:
  /// Returns true, and keeps the announcement, if it is not outdated.
  bool Accept(const TargetAnnouncement& aAnnouncement);

  /// Records that a target instance announced its departure. Returns true if
  /// it is the current one.
  bool RecordDeparture(std::string_view aInstance);

  /// The last accepted announcement.
  const TargetAnnouncement& Current() const { return this->current; }

private:
  TargetAnnouncement current;
  bool known = false;
  /// Start time of the latest departed start of each instance.
  std::map<std::string, std::int64_t, std::less<>> departed;
};

}
