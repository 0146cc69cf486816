#include "baobab/node/call_trail.hpp"

#include "baobab/core/random.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"

#include <cstdio>

namespace baobab {
namespace {

std::string
MadeUpIdentity()
{
  static thread_local SplitMix random(EntropySeed());
  char text[24];
  std::snprintf(
    text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

}

CallTrail::CallTrail(std::string aRequest, bool aTraced, TimePoint aBegan)
  : request(std::move(aRequest))
  , traced(aTraced)
  , began(aBegan)
{
  if (this->request.empty()) {
    this->request = MadeUpIdentity();
  }
}

void
CallTrail::Add(AttemptRecord aRecord)
{
  if (this->written) {
    this->Write(aRecord);
  }
  this->attempts.push_back(std::move(aRecord));
}

void
CallTrail::End(const CallEnd& aEnd)
{
  if (!this->traced && aEnd.callClass == CallClass::Good) {
    return;
  }
  this->written = true;
  for (const AttemptRecord& record : this->attempts) {
    this->Write(record);
  }
  Log(kCallEnded,
      this->request,
      aEnd.service,
      aEnd.route,
      aEnd.idempotent,
      Name(aEnd.callClass),
      aEnd.status,
      aEnd.detail,
      aEnd.took,
      aEnd.time,
      this->attempts.size(),
      aEnd.generation);
}

void
CallTrail::Write(const AttemptRecord& aRecord) const
{
  Log(kCallAttempt,
      this->request,
      aRecord.call,
      aRecord.target,
      Name(aRecord.tier),
      aRecord.second,
      aRecord.expected,
      aRecord.alternative,
      aRecord.known.others,
      aRecord.known.own,
      aRecord.known.slots,
      aRecord.known.slowness,
      aRecord.known.age.value_or(Duration(-1ms)),
      aRecord.began - this->began,
      aRecord.took,
      aRecord.held,
      aRecord.outcome,
      aRecord.detail);
}

}
