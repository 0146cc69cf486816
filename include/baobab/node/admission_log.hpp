/// @file
/// Log entries about calls, written by the daemon of their target.
#pragma once

#include "baobab/core/load_report.hpp"
#include "baobab/core/outcome.hpp"
#include "baobab/wire/peer_message.hpp"

#include <string_view>

namespace baobab {

/// The data of a call that every log entry about it contains.
struct LoggedCall
{
  /// Request ID from the caller's header; empty if there is none.
  std::string_view requestId;
  CallId id;
  /// Time at which the call arrived at this daemon.
  TimePoint arrivedAt;
  TimePoint deadline;
};

void LogQueued(const LoggedCall& aCall,
               std::uint8_t aPriority,
               const LoadReport& aLoad);

void LogStarted(const LoggedCall& aCall, const LoadReport& aLoad);

void LogRefused(const LoggedCall& aCall,
                const NotRun& aRefusal,
                const LoadReport& aLoad);

/// @param aStartedAt time at which the call was sent to the target
/// @param aSlowness slowdown of the host at that time; 1 is normal speed
void LogFinished(const LoggedCall& aCall,
                 unsigned aStatus,
                 TimePoint aStartedAt,
                 double aSlowness);

/// Logs a call that was sent to the target and whose outcome is unknown.
void LogLost(const LoggedCall& aCall,
             UnknownCause aCause,
             TimePoint aStartedAt,
             double aSlowness);

}
