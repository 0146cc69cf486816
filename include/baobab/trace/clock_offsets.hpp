/// @file
#pragma once

#include "baobab/trace/log_record.hpp"

#include <map>
#include <string>
#include <utility>

namespace baobab {

/// Clock offsets between pairs of daemons, keyed by (daemon that sent calls,
/// daemon of the target): how far the clock of the second is ahead of the clock
/// of the first.
using ClockOffsets =
  std::map<std::pair<std::string, std::string>, std::chrono::microseconds>;

/// Estimates the clock offsets of daemons that exchanged calls from the start
/// and end of each attempt as logged by both of them. Assumes equal network
/// delays in both directions, and takes the median over all attempts.
ClockOffsets EstimateOffsets(const std::vector<LogRecord>& aRecords);

}
