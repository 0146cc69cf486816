/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <cstdint>

namespace baobab {

/// Outcome of a call as reported to the caller.
enum class ReportedOutcome : std::uint8_t
{
  Answered,
  NotRun,
  Unknown,
  /// The response to another call, an incomplete or malformed one, or one with
  /// an unexpected status.
  Wrong,
};

/// Result of one call of an experiment.
struct CallResult
{
  std::uint64_t number = 0;
  ReportedOutcome outcome = ReportedOutcome::Unknown;
  bool idempotent = true;
  /// Time from the planned arrival to the end of the call.
  Duration latency = Duration::zero();
  /// Delay between the planned arrival and the actual start of the call.
  Duration lag = Duration::zero();
};

}
