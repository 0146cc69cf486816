/// @file
#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// Timestamp of a log line, by the clock of the host that wrote it.
using LogTime = std::chrono::sys_time<std::chrono::microseconds>;

/// A parsed line of a daemon's log.
struct LogRecord
{
  /// Daemon that wrote the line: the name of the log file, or the name in front
  /// of the line in a file that collects several logs.
  std::string source;
  LogTime time;
  std::string event;
  boost::json::object fields;

  /// Returns a text field; empty if the line does not have it.
  std::string_view Text(std::string_view aField) const;

  /// Returns a field that holds milliseconds; nothing if the line does not have
  /// it.
  std::optional<std::chrono::microseconds> DurationOf(
    std::string_view aField) const;
};

/// Parses a line. Returns nothing if it is not a line of a daemon's log.
/// @param aSource name of the daemon, unless the line starts with one
std::optional<LogRecord> ParseLogLine(std::string_view aLine,
                                      std::string_view aSource);

/// Parses a log. Lines that are not written by a daemon are skipped.
/// @param aSource name of the daemon for lines that start with none
std::vector<LogRecord> ParseLog(std::string_view aText,
                                std::string_view aSource);

}
