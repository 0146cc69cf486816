#include "baobab/decision/region_contacts.hpp"

#include <algorithm>

namespace baobab {

void
RegionContacts::RecordContact(const std::string& aRegion, TimePoint aNow)
{
  this->Update(aRegion, aNow, aNow);
}

void
RegionContacts::Merge(const RegionAge& aContact, TimePoint aNow)
{
  if (aContact.age >= Millis::zero() && aContact.age < kSilenceTimeout) {
    this->Update(aContact.region, aNow - aContact.age, aNow);
  }
}

std::vector<RegionAge>
RegionContacts::Ages(TimePoint aNow) const
{
  std::vector<RegionAge> ages;
  for (const auto& [region, contact] : this->contacts) {
    if (aNow - contact.lastContactAt < kSilenceTimeout) {
      ages.push_back(
        { region,
          std::chrono::duration_cast<Millis>(aNow - contact.lastContactAt) });
    }
  }
  return ages;
}

bool
RegionContacts::IsSilent(const std::string& aRegion, TimePoint aNow) const
{
  const auto found = this->contacts.find(aRegion);
  return found != this->contacts.end() &&
         aNow - found->second.lastContactAt >= kSilenceTimeout;
}

bool
RegionContacts::HadContactSince(const std::string& aRegion,
                                TimePoint aSince,
                                TimePoint aNow) const
{
  const auto found = this->contacts.find(aRegion);
  return found != this->contacts.end() &&
         found->second.lastContactAt > aSince &&
         aNow - found->second.resumedAt >= kSilenceTimeout;
}

void
RegionContacts::Update(const std::string& aRegion,
                       TimePoint aContactAt,
                       TimePoint aNow)
{
  const auto [found, added] = this->contacts.try_emplace(aRegion);
  Contact& contact = found->second;
  if (added || aNow - contact.lastContactAt >= kSilenceTimeout) {
    contact.resumedAt = aNow;
  }
  contact.lastContactAt = std::max(contact.lastContactAt, aContactAt);
}

}
