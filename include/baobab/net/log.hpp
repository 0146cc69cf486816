/// @file
/// Structured logs over Boost.Log: JSON lines or text, by channel.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace baobab {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// A named value of a log line.
struct LogField
{
  std::string_view name;
  std::string value;
};

/// Sets form and lowest level of the lines that go to standard error.
/// @param aFormat `json` or `text`
/// @param aLevel `debug`, `info`, `warning` or `error`, optionally followed
///   by levels of single channels, for example `info,gossip=debug`
void InitLog(std::string_view aFormat, std::string_view aLevel);

/// Changes the lowest level while the program runs; levels of single channels
/// stay.
void SetLogLevel(std::string_view aLevel);

/// True if lines of this level are written on the channel.
bool LogEnabled(std::string_view aChannel, LogLevel aLevel);

/// Writes one line.
/// @param aChannel part of the program, for example `ingress`
void Log(std::string_view aChannel,
         LogLevel aLevel,
         std::string_view aMessage,
         const std::vector<LogField>& aFields = {});

}
