#include "baobab/decision/announcement_filter.hpp"

namespace baobab {

bool
AnnouncementFilter::Accept(const TargetAnnouncement& aAnnouncement)
{
  if (aAnnouncement.instance.empty()) {
    this->current = aAnnouncement;
    this->known = true;
    return true;
  }
  const auto departure = this->departed.find(aAnnouncement.instance);
  if (departure != this->departed.end() &&
      aAnnouncement.startedAtMs <= departure->second) {
    return false;
  }
  if (this->known) {
    const bool sameStart =
      aAnnouncement.instance == this->current.instance &&
      aAnnouncement.startedAtMs == this->current.startedAtMs;
    const bool outdated =
      aAnnouncement.startedAtMs < this->current.startedAtMs ||
      (sameStart && aAnnouncement.sequence <= this->current.sequence);
    if (outdated) {
      return false;
    }
  }
  this->current = aAnnouncement;
  this->known = true;
  return true;
}

bool
AnnouncementFilter::RecordDeparture(std::string_view aInstance)
{
  const bool isCurrent = this->known && aInstance == this->current.instance;
  if (isCurrent) {
    this->departed.insert_or_assign(std::string(aInstance),
                                    this->current.startedAtMs);
  }
  return isCurrent;
}

}
