/// @file
#pragma once

#include "baobab/trace/clock_offsets.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// One step on the way of a request.
struct TraceStep
{
  /// Time from the request's arrival, by the clock of the daemon that took it.
  std::chrono::microseconds sinceArrival{ 0 };
  const LogRecord* record = nullptr;
};

/// The steps of a request in the order of their times. Empty if no line names
/// it.
/// @param aId identity of the request, or of one of its attempts
std::vector<TraceStep> TraceRequest(const std::vector<LogRecord>& aRecords,
                                    std::string_view aId);

/// Writes steps as text, one line each.
std::string FormatTrace(const std::vector<TraceStep>& aSteps);

/// Requests that did not end well, as text: one line each, the newest last.
/// @param aMost lines at most
std::string FormatUnsuccessfulRequests(const std::vector<LogRecord>& aRecords,
                                       std::size_t aMost);

}
