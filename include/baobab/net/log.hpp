/// @file
/// Structured logging with Boost.Log. Lines are queued and written by a
/// separate thread, so that a slow reader of the log does not delay calls.
/// Lines that do not fit into the queue are dropped, counted and reported.
#pragma once

#include "baobab/net/log_event.hpp"
#include "baobab/net/log_line.hpp"

#include <cstddef>
#include <string_view>

namespace baobab {

struct LogOptions
{
  LogFormat format = LogFormat::Json;
  /// Lowest level that is logged: `debug`, `info`, `warning` or `error`.
  std::string_view level = "info";
  /// File descriptor that lines are written to.
  int descriptor = 1;
};

/// Starts logging. Events logged before are discarded.
void InitLog(const LogOptions& aOptions);

/// Changes the lowest level that is logged.
void SetLogLevel(std::string_view aLevel);

/// Writes the queued lines and stops logging. Gives up after a fraction of a
/// second if the log is not read.
void StopLog();

/// True if a line with this level and drop policy would be queued now.
/// Otherwise, counts it as dropped if the queue is too full for it.
bool LogEnabled(LogLevel aLevel, LogDropPolicy aDropPolicy);

namespace log_detail {

LogLine Begin(std::string_view aEvent,
              std::string_view aChannel,
              LogLevel aLevel);

void Submit(LogLine&& aLine);

}

/// Logs an event with one value for each of its fields, in their order.
template<std::size_t N, class... Values>
void
Log(const LogEvent<N>& aEvent, const Values&... aValues)
{
  static_assert(sizeof...(Values) == N, "give one value for each field");
  if (!LogEnabled(aEvent.level, aEvent.dropPolicy)) {
    return;
  }
  LogLine line = log_detail::Begin(aEvent.name, aEvent.channel, aEvent.level);
  std::size_t field = 0;
  (line.Add(aEvent.fields[field++].name, aValues), ...);
  log_detail::Submit(std::move(line));
}

}
