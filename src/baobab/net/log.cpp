#include "baobab/net/log.hpp"

#include <algorithm>
#include <atomic>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <map>

namespace baobab {
namespace {

struct LogSettings
{
  bool json = true;
  /// Changed while other threads log.
  std::atomic<LogLevel> level = LogLevel::Info;
  std::map<std::string, LogLevel, std::less<>> channels;
};

LogSettings&
CurrentSettings()
{
  static LogSettings settings;
  return settings;
}

LogLevel
ParseLevel(std::string_view aText)
{
  if (aText == "debug") {
    return LogLevel::Debug;
  }
  if (aText == "warning") {
    return LogLevel::Warning;
  }
  return aText == "error" ? LogLevel::Error : LogLevel::Info;
}

std::string_view
NameOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      break;
  }
  return "error";
}

std::string
TimeNow()
{
  return boost::posix_time::to_iso_extended_string(
           boost::posix_time::microsec_clock::universal_time()) +
         "Z";
}

std::string
JsonLine(std::string_view aChannel,
         LogLevel aLevel,
         std::string_view aMessage,
         const std::vector<LogField>& aFields)
{
  boost::json::object line;
  line["time"] = TimeNow();
  line["level"] = NameOf(aLevel);
  line["channel"] = aChannel;
  line["message"] = aMessage;
  for (const LogField& field : aFields) {
    line[field.name] = field.value;
  }
  return boost::json::serialize(line);
}

std::string
TextLine(std::string_view aChannel,
         LogLevel aLevel,
         std::string_view aMessage,
         const std::vector<LogField>& aFields)
{
  std::string line = TimeNow() + " " + std::string(NameOf(aLevel)) + " " +
                     std::string(aChannel) + ": " + std::string(aMessage);
  for (const LogField& field : aFields) {
    line += " " + std::string(field.name) + "=" + field.value;
  }
  return line;
}

void
AddSink()
{
  boost::log::add_console_log(
    std::clog,
    boost::log::keywords::format =
      (boost::log::expressions::stream << boost::log::expressions::smessage),
    boost::log::keywords::auto_flush = true);
}

}

void
InitLog(std::string_view aFormat, std::string_view aLevel)
{
  LogSettings& settings = CurrentSettings();
  settings.json = aFormat != "text";
  while (!aLevel.empty()) {
    const auto comma = aLevel.find(',');
    const std::string_view part = aLevel.substr(0, comma);
    const auto equals = part.find('=');
    if (equals == std::string_view::npos) {
      settings.level = ParseLevel(part);
    } else {
      settings.channels[std::string(part.substr(0, equals))] =
        ParseLevel(part.substr(equals + 1));
    }
    aLevel = comma == std::string_view::npos ? "" : aLevel.substr(comma + 1);
  }
  AddSink();
}

void
SetLogLevel(std::string_view aLevel)
{
  const auto plain = std::string_view(aLevel).substr(0, aLevel.find(','));
  CurrentSettings().level = ParseLevel(plain);
}

bool
LogEnabled(std::string_view aChannel, LogLevel aLevel)
{
  const LogSettings& settings = CurrentSettings();
  const auto channel = settings.channels.find(aChannel);
  return aLevel >= (channel == settings.channels.end() ? settings.level.load()
                                                       : channel->second);
}

void
Log(std::string_view aChannel,
    LogLevel aLevel,
    std::string_view aMessage,
    const std::vector<LogField>& aFields)
{
  if (!LogEnabled(aChannel, aLevel)) {
    return;
  }
  const std::string line = CurrentSettings().json
                             ? JsonLine(aChannel, aLevel, aMessage, aFields)
                             : TextLine(aChannel, aLevel, aMessage, aFields);
  thread_local boost::log::sources::logger logger;
  BOOST_LOG(logger) << line;
}

}
