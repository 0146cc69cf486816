/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <cstdint>

namespace baobab {

/// What a caller was told.
enum class ReportedOutcome : std::uint8_t
{
  Answered,
  NotRun,
  Unknown,
  /// Another call's answer, part of one, or an unexpected status.
  Wrong,
};

/// One call of an experiment.
struct CallResult
{
  std::uint64_t number = 0;
  ReportedOutcome outcome = ReportedOutcome::Unknown;
  bool idempotent = true;
  /// Since the intended arrival.
  Duration latency = Duration::zero();
  /// How late the call was sent.
  Duration lag = Duration::zero();
};

}
