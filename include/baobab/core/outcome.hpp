/// @file
/// How an attempt of a call ended.
#pragma once

#include "baobab/core/http_message.hpp"
#include "baobab/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace baobab {

/// Why a call was not run.
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
  /// The target itself rejected the call.
  Shed,
  /// Another instance than the one that was meant has the target's address.
  WrongInstance,
};

constexpr RefusalReason kLastRefusalReason = RefusalReason::WrongInstance;

/// Returns the stable name of a reason.
std::string_view Name(RefusalReason aReason);

/// The target's whole answer.
struct Answered
{
  Response response;
};

/// The call was not run and never will be.
struct NotRun
{
  RefusalReason reason = RefusalReason::Overloaded;
  std::string detail;
  /// True if a daemon nearer to the failure has already tried again.
  bool retried = false;
  /// Time after which another try may find room; 0 if not known.
  Micros retryAfter{ 0 };
};

/// Why the outcome of a call is unknown.
enum class UnknownCause : std::uint8_t
{
  LinkLost,
  DaemonRestarted,
  TargetFailed,
  DeadlinePassed,
  AnswerTooLarge,
  Cancelled,
};

/// Returns a sentence for callers and logs.
std::string_view Describe(UnknownCause aCause);

/// The call may or may not have run.
struct OutcomeUnknown
{
  UnknownCause cause = UnknownCause::LinkLost;
};

using Outcome = std::variant<Answered, NotRun, OutcomeUnknown>;

}
