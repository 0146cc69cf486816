#include "baobab/decision/region_contacts.hpp"

#include <algorithm>

namespace baobab {

void
RegionContacts::RecordContact(const std::string& aRegion, TimePoint aNow)
{
  this->Touch(aRegion, aNow, aNow);
}

void
RegionContacts::Merge(const RegionAge& aContact, TimePoint aNow)
{
  if (aContact.age >= Millis::zero() && aContact.age < kSilence) {
    this->Touch(aContact.region, aNow - aContact.age, aNow);
  }
}

std::vector<RegionAge>
RegionContacts::Ages(TimePoint aNow) const
{
  std::vector<RegionAge> ages;
  for (const auto& [region, contact] : this->contacts) {
    if (aNow - contact.heardAt < kSilence) {
      ages.push_back(
        { region, std::chrono::duration_cast<Millis>(aNow - contact.heardAt) });
    }
  }
  return ages;
}

bool
RegionContacts::IsSilent(const std::string& aRegion, TimePoint aNow) const
{
  const auto found = this->contacts.find(aRegion);
  return found != this->contacts.end() &&
         aNow - found->second.heardAt >= kSilence;
}

bool
RegionContacts::WasHeardSince(const std::string& aRegion,
                              TimePoint aSince,
                              TimePoint aNow) const
{
  const auto found = this->contacts.find(aRegion);
  return found != this->contacts.end() && found->second.heardAt > aSince &&
         aNow - found->second.backAt >= kSilence;
}

void
RegionContacts::Touch(const std::string& aRegion,
                      TimePoint aHeardAt,
                      TimePoint aNow)
{
  const auto [found, added] = this->contacts.try_emplace(aRegion);
  Contact& contact = found->second;
  if (added || aNow - contact.heardAt >= kSilence) {
    contact.backAt = aNow;
  }
  contact.heardAt = std::max(contact.heardAt, aHeardAt);
}

}
