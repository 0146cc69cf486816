/// @file
/// Types that describe log events. The names of events and fields are stable
/// and keep their meaning, so that programs can parse the logs.
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

/// When lines of an event are dropped under load.
enum class LogDropPolicy : std::uint8_t
{
  /// Only when the queue is full.
  DropLast,
  /// As soon as the queue is half full; for routine events.
  DropFirst,
};

/// A field of an event.
struct LogField
{
  std::string_view name;
  std::string_view help;
};

/// A kind of log line with its fields.
template<std::size_t N>
struct LogEvent
{
  /// Value of the `event` field of a line.
  std::string_view name;
  /// Component that logs the event; value of the `channel` field of a line.
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

/// Returns the name of a level as it appears in log lines and settings.
constexpr std::string_view
Name(LogLevel aLevel)
{
  constexpr std::array<std::string_view, 4> kNames = {
    "debug", "info", "warning", "error"
  };
  return kNames[static_cast<std::size_t>(aLevel)];
}

}
