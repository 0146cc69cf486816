#include "baobab/decision/target_register.hpp"

namespace baobab {

bool
TargetRegister::Accept(const TargetAnnouncement& aAnnouncement)
{
  if (aAnnouncement.instance.empty()) {
    this->current = aAnnouncement;
    this->known = true;
    return true;
  }
  const auto gone = this->departed.find(aAnnouncement.instance);
  if (gone != this->departed.end() && aAnnouncement.born <= gone->second) {
    return false;
  }
  if (this->known) {
    const bool sameStart = aAnnouncement.instance == this->current.instance &&
                           aAnnouncement.born == this->current.born;
    const bool overtaken =
      aAnnouncement.born < this->current.born ||
      (sameStart && aAnnouncement.sequence <= this->current.sequence);
    if (overtaken) {
      return false;
    }
  }
  this->current = aAnnouncement;
  this->known = true;
  return true;
}

bool
TargetRegister::Depart(std::string_view aInstance)
{
  const bool present = this->known && aInstance == this->current.instance;
  if (present) {
    this->departed.insert_or_assign(std::string(aInstance), this->current.born);
  }
  return present;
}

}
