/// @file
#pragma once

#include "baobab/trace/clock_offsets.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// One step of a request: a log line with its time.
struct TraceStep
{
  /// Time since the first step, by the clock of the daemon that got the call.
  std::chrono::microseconds sinceFirstStep{ 0 };
  const LogRecord* record = nullptr;
};

/// The steps of a request in the order of their times. Empty if no line names
/// it.
/// @param aId ID of the request, or of one of its attempts
std::vector<TraceStep> TraceRequest(const std::vector<LogRecord>& aRecords,
                                    std::string_view aId);

/// Writes steps as text, one line each.
std::string FormatTrace(const std::vector<TraceStep>& aSteps);

/// Lists the requests whose class is not `good`, one line each, the newest
/// last.
/// @param aMaxLines lines at most; older requests are omitted
std::string FormatUnsuccessfulRequests(const std::vector<LogRecord>& aRecords,
                                       std::size_t aMaxLines);

}
