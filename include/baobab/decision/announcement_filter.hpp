/// @file
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/decision/admission.hpp"

#include <cstdint>
#include <map>
#include <optional>
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
  /// Wall-clock time of the target's start in milliseconds since 1970; nothing
  /// if it is not known.
  std::optional<std::int64_t> startedAtMs;
  /// Time for which the target stays cold, as it says; nothing if it does not.
  std::optional<Millis> warmupLeft;
  /// Increases with each announcement of the same start; nothing for a target
  /// that was found without an announcement.
  std::optional<std::int64_t> sequence;
};

/// What the target itself says when it is asked.
struct TargetProof
{
  /// Instance at the target's address; empty if the target names none.
  std::string instance;
  /// False if the target is leaving or failing.
  bool healthy = false;
  TimePoint askedAt;
};

enum class AnnouncementVerdict : std::uint8_t
{
  Accepted,
  Outdated,
  /// It may have been sent before something that this daemon does not know or
  /// cannot order: ask the target.
  Unproven,
};

/// Accepts the announcements of the target's latest start and rejects delayed
/// ones: those of an earlier start at the same address, those of a start that
/// has announced its departure, and those that arrive after a later one.
///
/// A daemon that has just started knows of no departure, and a departure may be
/// known without its start. An announcement that may have been sent before is
/// accepted only with a proof from the target.
class AnnouncementFilter
{
public:
  /// @param aMaxDelay longest time for which an announcement is on its way
  /// @param aNow time from which on the filter sees all announcements
  AnnouncementFilter(Duration aMaxDelay, TimePoint aNow)
    : maxDelay(aMaxDelay)
    , startedAt(aNow)
  {
  }

  /// Decides on an announcement, and keeps it if it is accepted. One that says
  /// that its sender leaves and cannot be ordered counts as its departure.
  /// @param aProof what the target says of itself, if it was asked
  AnnouncementVerdict Accept(const TargetAnnouncement& aAnnouncement,
                             const std::optional<TargetProof>& aProof,
                             TimePoint aNow);

  /// Records that a target instance announced its departure, whether or not it
  /// is known. Returns true if it is the current one.
  /// @param aStartedAtMs start of the instance, if it is known
  bool RecordDeparture(std::string_view aInstance,
                       std::optional<std::int64_t> aStartedAtMs,
                       TimePoint aNow);

  /// The last accepted announcement.
  const TargetAnnouncement& Current() const { return this->current; }

private:
  struct Departure
  {
    /// Start that has departed; nothing if it is not known.
    std::optional<std::int64_t> startedAtMs;
    TimePoint recordedAt;
  };

  AnnouncementVerdict Judge(const TargetAnnouncement& aAnnouncement,
                            TimePoint aNow) const;
  AnnouncementVerdict JudgeProven(const TargetAnnouncement& aAnnouncement,
                                  const TargetProof& aProof) const;
  /// Whether the announcement's start is known to be before or after the
  /// current one.
  bool IsEarlierStart(const TargetAnnouncement& aAnnouncement) const;
  bool IsLaterStart(const TargetAnnouncement& aAnnouncement) const;
  /// True if an announcement that arrives now may have been sent before a time
  /// point.
  bool MayPrecede(TimePoint aTime, TimePoint aNow) const
  {
    return aNow - aTime < this->maxDelay;
  }

  Duration maxDelay;
  TimePoint startedAt;
  TargetAnnouncement current;
  bool known = false;
  std::map<std::string, Departure, std::less<>> departed;
};

}
