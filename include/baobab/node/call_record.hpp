/// @file
#pragma once

#include "baobab/core/call_class.hpp"
#include "baobab/core/call_id.hpp"
#include "baobab/core/endpoint.hpp"
#include "baobab/core/locality.hpp"
#include "baobab/core/time.hpp"
#include "baobab/decision/target_load.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// What decided one attempt of a call, and how it ended.
struct AttemptRecord
{
  CallId call;
  Endpoint target;
  Tier tier = Tier::SameZone;
  /// True if it was sent while another attempt ran.
  bool second = false;
  Duration expectedTime = Duration::zero();
  Duration alternative = Duration::zero();
  KnownLoad knownLoad;
  TimePoint startedAt;
  Duration duration = Duration::zero();
  Duration serverTime = Duration::zero();
  std::string_view outcome;
  std::string detail;
};

/// How a call ended.
struct CallSummary
{
  std::string_view service;
  std::string route;
  bool idempotent = false;
  CallClass callClass = CallClass::Good;
  unsigned status = 0;
  std::string detail;
  Duration duration = Duration::zero();
  /// Time that the call had.
  Duration timeLimit = Duration::zero();
  std::uint64_t generation = 0;
};

/// The way of one call. It goes to the log when the call is over, if the call
/// did not end well or is one of the sample.
class CallRecord
{
public:
  /// @param aRequest identity of the request; one is made up if it has none
  CallRecord(std::string aRequest, bool aTraced, TimePoint aBegan);

  const std::string& RequestId() const { return this->requestId; }
  bool Traced() const { return this->traced; }

  void AddAttempt(AttemptRecord aRecord);

  /// Ends the trail. Attempts that are still being cancelled follow later.
  void Finish(const CallSummary& aEnd);

private:
  void Write(const AttemptRecord& aRecord) const;

  std::string requestId;
  bool traced;
  TimePoint startedAt;
  std::vector<AttemptRecord> attempts;
  bool written = false;
};

}
