/// @file
/// Log lines about calls at the daemon beside their target.
#pragma once

#include "baobab/core/load_report.hpp"
#include "baobab/core/outcome.hpp"
#include "baobab/wire/peer_message.hpp"

#include <string_view>

namespace baobab {

/// A call as the log names it.
struct LoggedCall
{
  /// Identity of the request; empty if it has none.
  std::string_view requestId;
  CallId id;
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

/// @param aBegan time at which the target got the call
/// @param aSlowness of the host at that time; 1 is the usual
void LogFinished(const LoggedCall& aCall,
                 unsigned aStatus,
                 TimePoint aBegan,
                 double aSlowness);

void LogLost(const LoggedCall& aCall,
             UnknownCause aCause,
             TimePoint aBegan,
             double aSlowness);

}
