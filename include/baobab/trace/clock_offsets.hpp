/// @file
#pragma once

#include "baobab/trace/log_record.hpp"

#include <map>
#include <string>
#include <utility>

namespace baobab {

/// How far the clock of one daemon is ahead of another's.
using ClockOffsets =
  std::map<std::pair<std::string, std::string>, std::chrono::microseconds>;

/// Estimates the offsets between daemons that exchanged calls, out of the
/// times at which attempts were sent, arrived, ended there and ended here. The
/// way there and back is taken to be equally long; the median over all
/// attempts counts.
/// @return offset by (daemon of the caller, daemon of the target)
ClockOffsets EstimateOffsets(const std::vector<LogRecord>& aRecords);

}
