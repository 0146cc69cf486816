/// @file
/// Kinds of log lines. Each kind has a name and fields that never change
/// their meaning, so that programs can read the logs.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace baobab {

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Whether lines of an event may be left out.
enum class LogDropPolicy : std::uint8_t
{
  /// Only dropped when the queue of lines is full.
  DropLast,
  /// Ordinary progress of a call, left out first.
  DropFirst,
};

/// A named value of an event.
struct LogField
{
  std::string_view name;
  std::string_view help;
};

/// A kind of log line.
template<std::size_t N>
struct LogEvent
{
  /// Stable name, in the line's `event`.
  std::string_view name;
  /// Part of the program, in the line's `channel`.
  std::string_view channel;
  LogLevel level;
  LogDropPolicy dropPolicy;
  std::string_view help;
  std::array<LogField, N> fields;
};

template<std::size_t N>
LogEvent(std::string_view,
         std::string_view,
         LogLevel,
         LogDropPolicy,
         std::string_view,
         std::array<LogField, N>) -> LogEvent<N>;

/// Returns the name of a level, as in log lines.
constexpr std::string_view
Name(LogLevel aLevel)
{
  constexpr std::array<std::string_view, 4> kNames = {
    "debug", "info", "warning", "error"
  };
  return kNames[static_cast<std::size_t>(aLevel)];
}

}
