#include "baobab/node/call_record.hpp"

#include "baobab/core/random.hpp"
#include "baobab/net/log.hpp"
#include "baobab/net/log_events.hpp"

#include <cstdio>

namespace baobab {
namespace {

std::string
GenerateRequestId()
{
  static thread_local SplitMix random(EntropySeed());
  char text[24];
  std::snprintf(
    text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

}

CallRecord::CallRecord(std::string aRequestId,
                       bool aTraced,
                       TimePoint aStartedAt)
  : requestId(std::move(aRequestId))
  , traced(aTraced)
  , startedAt(aStartedAt)
{
  if (this->requestId.empty()) {
    this->requestId = GenerateRequestId();
  }
}

void
CallRecord::AddAttempt(AttemptRecord aRecord)
{
  if (this->written) {
    this->Write(aRecord);
  }
  this->attempts.push_back(std::move(aRecord));
}

void
CallRecord::Finish(const CallSummary& aSummary)
{
  if (!this->traced && aSummary.callClass == CallClass::Good) {
    return;
  }
  this->written = true;
  for (const AttemptRecord& record : this->attempts) {
    this->Write(record);
  }
  Log(kCallEnded,
      this->requestId,
      aSummary.service,
      aSummary.route,
      aSummary.idempotent,
      Name(aSummary.callClass),
      aSummary.status,
      aSummary.detail,
      aSummary.duration,
      aSummary.timeLimit,
      this->attempts.size(),
      aSummary.generation);
}

void
CallRecord::Write(const AttemptRecord& aRecord) const
{
  Log(kCallAttempt,
      this->requestId,
      aRecord.call,
      aRecord.target,
      Name(aRecord.tier),
      aRecord.second,
      aRecord.expectedTime,
      aRecord.alternative,
      aRecord.knownLoad.others,
      aRecord.knownLoad.own,
      aRecord.knownLoad.slots,
      aRecord.knownLoad.slowness,
      aRecord.knownLoad.age.value_or(Duration(-1ms)),
      aRecord.startedAt - this->startedAt,
      aRecord.duration,
      aRecord.serverTime,
      aRecord.outcome,
      aRecord.detail);
}

}
