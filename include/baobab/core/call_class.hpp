/// @file
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace baobab {

/// Class in which a call is counted for its service's objective.
enum class CallClass : std::uint8_t
{
  Good,
  /// Answered later than the objective's latency.
  Late,
  /// Answered by the target with a server error (5xx).
  Failed,
  /// Refused: no target ran the call.
  NotRun,
  /// The outcome is unknown: the call may or may not have run.
  Unknown,
};

/// Number of values of CallClass.
constexpr std::size_t kCallClassCount = 5;

/// Returns the name of a class as used in metrics and reports.
constexpr std::string_view
Name(CallClass aClass)
{
  switch (aClass) {
    case CallClass::Good:
      return "good";
    case CallClass::Late:
      return "late";
    case CallClass::Failed:
      return "failed";
    case CallClass::NotRun:
      return "not-run";
    case CallClass::Unknown:
      break;
  }
  return "unknown";
}

}
