/// @file
#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// Time of a log line by the clock of its host.
using LogTime = std::chrono::sys_time<std::chrono::microseconds>;

/// One line of a daemon's log.
struct LogRecord
{
  /// Daemon that wrote it: the name of its file, or the name before the line
  /// where several logs were collected into one file.
  std::string source;
  LogTime time;
  std::string event;
  boost::json::object fields;

  /// A text field; empty if the line does not have it.
  std::string_view Text(std::string_view aField) const;

  /// A field in milliseconds; nothing if the line does not have it.
  std::optional<std::chrono::microseconds> DurationOf(
    std::string_view aField) const;
};

/// Reads a line; nothing if it is no line of a daemon.
/// @param aSource daemon, if the line names none
std::optional<LogRecord> ParseLogLine(std::string_view aLine,
                                      std::string_view aSource);

/// Reads the lines of a log; other lines are passed over.
std::vector<LogRecord> ParseLog(std::string_view aText,
                                std::string_view aSource);

}
