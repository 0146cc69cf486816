/// @file
/// Log entries about a call and its attempts, written by the daemon that
/// receives the call from its caller.
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

/// One attempt of a call: why its target was chosen, and how it ended.
struct AttemptRecord
{
  CallId call;
  Endpoint target;
  Tier tier = Tier::SameZone;
  /// True if it was sent while another attempt was running.
  bool second = false;
  /// Expected time until the answer; 0 if the policy does not estimate it.
  Duration expectedTime = Duration::zero();
  /// Expected time at the best other target; 0 if there is none.
  Duration alternative = Duration::zero();
  /// Load of the target as known when the attempt started.
  LoadSnapshot knownLoad;
  TimePoint startedAt;
  Duration duration = Duration::zero();
  /// Time from the call's arrival at the target's daemon until its answer; 0
  /// if not known.
  Duration serverTime = Duration::zero();
  std::string_view outcome;
  std::string detail;
};

/// Result of a call, as logged when it is over.
struct CallSummary
{
  std::string_view service;
  std::string route;
  bool idempotent = false;
  CallClass callClass = CallClass::Good;
  /// HTTP status of the response; 0 if the caller has disconnected.
  unsigned status = 0;
  std::string detail;
  Duration duration = Duration::zero();
  /// Time from the call's start to its deadline.
  Duration timeLimit = Duration::zero();
  /// Generation of the configuration when the call ended.
  std::uint64_t generation = 0;
};

/// Collects the attempts of one call. They are logged when the call is over,
/// if its class is not Good or if it is traced.
class CallRecord
{
public:
  /// @param aRequestId ID of the request; if empty, a random one is generated
  /// @param aTraced if true, the call is logged however it ends
  CallRecord(std::string aRequestId, bool aTraced, TimePoint aStartedAt);

  const std::string& RequestId() const { return this->requestId; }
  bool Traced() const { return this->traced; }

  /// Adds an attempt that is over. It is logged at once if the call is over
  /// and was logged.
  void AddAttempt(AttemptRecord aRecord);

  /// Logs the call and its attempts. Attempts that are still being cancelled
  /// are added later.
  void Finish(const CallSummary& aSummary);

private:
  void Write(const AttemptRecord& aRecord) const;

  std::string requestId;
  bool traced;
  TimePoint startedAt;
  std::vector<AttemptRecord> attempts;
  bool written = false;
};

}
