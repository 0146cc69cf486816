/// @file
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace baobab {

/// How a call counts towards its service's objective.
enum class CallClass : std::uint8_t
{
  Good,
  /// Answered later than the objective's latency.
  Late,
  /// Answered by the target with a server error.
  Failed,
  NotRun,
  Unknown,
};

constexpr std::size_t kCallClassCount = 5;

/// Returns the name of a class in metrics and reports.
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
