/// @file
/// Outcomes of an attempt of a call.
#pragma once

#include "baobab/core/http_message.hpp"
#include "baobab/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace baobab {

/// Reason why a call was not run. The values are sent to other daemons.
enum class RefusalReason : std::uint8_t
{
  Overloaded,
  Leaving,
  NotReady,
  Expired,
  Fenced,
  Quarantined,
  Unreachable,
  NoTarget,
  WrongService,
  TooLarge,
  Cancelled,
  /// The target itself rejected the call without running it.
  Shed,
  /// The target's address now belongs to another instance.
  WrongInstance,
  /// The target takes no more requests a second.
  RateLimited,
  /// The target's availability zone is evacuated.
  Evacuated,
  /// The target is cold and takes no more calls at the moment.
  WarmingUp,
  /// No target may be used in the regions to which the call is confined.
  RegionFull,
  /// The workspace has used up its quota.
  OverQuota,
  /// It is not known whether the key of the call is still valid.
  KeysOutdated,
  /// The daemon has no memory left for the call.
  OutOfMemory,
};

/// Highest value of RefusalReason, to check values that are received.
constexpr RefusalReason kLastRefusalReason = RefusalReason::OutOfMemory;

/// Returns the name of a reason in logs and metrics. These names are stable.
std::string_view Name(RefusalReason aReason);

/// The target answered.
struct Answered
{
  Response response;
};

/// The call was not run and never will be.
struct NotRun
{
  RefusalReason reason = RefusalReason::Overloaded;
  /// Explanation for logs and error answers.
  std::string detail;
  /// True if a daemon closer to the failure has already retried the call.
  bool retried = false;
  /// Time after which a retry may be admitted; 0 if unknown.
  Micros retryAfter{ 0 };
};

/// Reason why the outcome of a call is unknown.
enum class UnknownCause : std::uint8_t
{
  LinkLost,
  DaemonRestarted,
  TargetFailed,
  DeadlinePassed,
  AnswerTooLarge,
  Cancelled,
};

/// Returns an explanation for callers and logs.
std::string_view Describe(UnknownCause aCause);

/// The call may or may not have run.
struct OutcomeUnknown
{
  UnknownCause cause = UnknownCause::LinkLost;
};

using Outcome = std::variant<Answered, NotRun, OutcomeUnknown>;

}
