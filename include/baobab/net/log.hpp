/// @file
/// Structured logs over Boost.Log. Lines are queued and written by a thread of
/// their own, so that a slow reader delays no call; what does not fit into the
/// queue is counted and reported.
#pragma once

#include "baobab/net/log_event.hpp"
#include "baobab/net/log_line.hpp"

#include <cstddef>
#include <string_view>

namespace baobab {

struct LogOptions
{
  LogFormat format = LogFormat::Json;
  /// Lowest level that is written: `debug`, `info`, `warning` or `error`.
  std::string_view level = "info";
  /// File descriptor of the lines; the standard output.
  int descriptor = 1;
};

/// Starts the log. Without it nothing is written.
void InitLog(const LogOptions& aOptions);

/// Changes the lowest level while the program runs.
void SetLogLevel(std::string_view aLevel);

/// Writes what is queued, but waits no longer than a moment for a reader that
/// does not read.
void StopLog();

/// True if a line of this kind would be written now.
bool LogEnabled(LogLevel aLevel, LogDropPolicy aDropPolicy);

namespace log_detail {

LogLine Begin(std::string_view aEvent,
              std::string_view aChannel,
              LogLevel aLevel);

void Submit(LogLine&& aLine);

}

/// Writes one line with a value for each field of the event, in their order.
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
