/// @file
#pragma once

#include "baobab/trace/clock_offsets.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// One step on the way of a request.
struct WayStep
{
  /// Time from the request's arrival, by the clock of the daemon that took it.
  std::chrono::microseconds after{ 0 };
  const LogRecord* record = nullptr;
};

/// The steps of a request in the order of their times. Empty if no line names
/// it.
/// @param aId identity of the request, or of one of its attempts
std::vector<WayStep> WayOf(const std::vector<LogRecord>& aRecords,
                           std::string_view aId);

/// Writes steps as text, one line each.
std::string WayText(const std::vector<WayStep>& aSteps);

/// Requests that did not end well, as text: one line each, the newest last.
/// @param aMost lines at most
std::string BadRequestsText(const std::vector<LogRecord>& aRecords,
                            std::size_t aMost);

}
