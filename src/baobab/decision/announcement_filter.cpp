#include "baobab/decision/announcement_filter.hpp"

#include <algorithm>

namespace baobab {
namespace {

/// Departures that are remembered at most; another writer may name many
/// instances.
constexpr std::size_t kMaxDepartures = 64;

}

AnnouncementVerdict
AnnouncementFilter::Accept(const TargetAnnouncement& aAnnouncement,
                           const std::optional<TargetProof>& aProof,
                           TimePoint aNow)
{
  AnnouncementVerdict verdict = this->Judge(aAnnouncement, aNow);
  if (verdict == AnnouncementVerdict::Unproven &&
      aAnnouncement.announcement.state == TargetState::Leaving) {
    verdict = this->RecordDeparture(
                aAnnouncement.instance, aAnnouncement.startedAtMs, aNow)
                ? AnnouncementVerdict::Accepted
                : AnnouncementVerdict::Outdated;
  } else if (verdict == AnnouncementVerdict::Unproven && aProof) {
    verdict = this->JudgeProven(aAnnouncement, *aProof);
  }
  if (verdict == AnnouncementVerdict::Accepted) {
    this->current = aAnnouncement;
    this->known = true;
  }
  return verdict;
}

bool
AnnouncementFilter::RecordDeparture(std::string_view aInstance,
                                    std::optional<std::int64_t> aStartedAtMs,
                                    TimePoint aNow)
{
  const bool isCurrent = this->known && aInstance == this->current.instance;
  if (this->departed.size() >= kMaxDepartures &&
      !this->departed.contains(aInstance)) {
    this->departed.erase(
      std::ranges::min_element(this->departed, {}, [](const auto& aItem) {
        return aItem.second.recordedAt;
      }));
  }
  this->departed.insert_or_assign(
    std::string(aInstance),
    Departure{ isCurrent ? this->current.startedAtMs : aStartedAtMs, aNow });
  return isCurrent;
}

AnnouncementVerdict
AnnouncementFilter::Judge(const TargetAnnouncement& aAnnouncement,
                          TimePoint aNow) const
{
  if (aAnnouncement.instance.empty()) {
    return AnnouncementVerdict::Accepted;
  }
  const auto departure = this->departed.find(aAnnouncement.instance);
  const bool hasDeparted = departure != this->departed.end();
  if (hasDeparted &&
      (!aAnnouncement.startedAtMs ||
       aAnnouncement.startedAtMs <= departure->second.startedAtMs)) {
    return AnnouncementVerdict::Outdated;
  }
  const bool sameInstance =
    this->known && aAnnouncement.instance == this->current.instance;
  const bool sameStart =
    sameInstance && aAnnouncement.startedAtMs == this->current.startedAtMs;
  const bool repeated = sameInstance && aAnnouncement.sequence &&
                        this->current.sequence &&
                        *aAnnouncement.sequence <= *this->current.sequence;
  if (sameInstance && (this->IsEarlierStart(aAnnouncement) ||
                       (!this->IsLaterStart(aAnnouncement) && repeated))) {
    return AnnouncementVerdict::Outdated;
  }
  // A departure names no start, so it may be that of a later one, unless that
  // was accepted since.
  if (hasDeparted && !sameStart &&
      this->MayPrecede(departure->second.recordedAt, aNow)) {
    return AnnouncementVerdict::Unproven;
  }
  if (this->known) {
    // Starts of two instances order them only if the wall clock was not set
    // back.
    return sameInstance || this->IsLaterStart(aAnnouncement)
             ? AnnouncementVerdict::Accepted
             : AnnouncementVerdict::Unproven;
  }
  const bool leaving = aAnnouncement.announcement.state == TargetState::Leaving;
  return !leaving && this->MayPrecede(this->startedAt, aNow)
           ? AnnouncementVerdict::Unproven
           : AnnouncementVerdict::Accepted;
}

AnnouncementVerdict
AnnouncementFilter::JudgeProven(const TargetAnnouncement& aAnnouncement,
                                const TargetProof& aProof) const
{
  if (!aProof.instance.empty() && aProof.instance != aAnnouncement.instance) {
    return AnnouncementVerdict::Outdated;
  }
  const auto departure = this->departed.find(aAnnouncement.instance);
  const bool asked = departure == this->departed.end() ||
                     aProof.askedAt > departure->second.recordedAt;
  if (!aProof.healthy || !asked) {
    return AnnouncementVerdict::Unproven;
  }
  // Without an instance, the proof may come from the current one.
  return aProof.instance.empty() && this->IsEarlierStart(aAnnouncement)
           ? AnnouncementVerdict::Outdated
           : AnnouncementVerdict::Accepted;
}

bool
AnnouncementFilter::IsEarlierStart(
  const TargetAnnouncement& aAnnouncement) const
{
  return this->known && aAnnouncement.startedAtMs &&
         aAnnouncement.startedAtMs < this->current.startedAtMs;
}

bool
AnnouncementFilter::IsLaterStart(const TargetAnnouncement& aAnnouncement) const
{
  return this->known && this->current.startedAtMs &&
         aAnnouncement.startedAtMs > this->current.startedAtMs;
}

}
