#include "baobab/trace/log_record.hpp"

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/json.hpp>
#include <sstream>

namespace baobab {
namespace {

namespace json = boost::json;
namespace posix = boost::posix_time;

const json::value*
FindField(const json::object& aObject, std::string_view aName)
{
  return aObject.if_contains(json::string_view(aName.data(), aName.size()));
}

std::optional<LogTime>
ParseTime(std::string_view aText)
{
  if (!aText.ends_with('Z')) {
    return std::nullopt;
  }
  try {
    const auto time = posix::from_iso_extended_string(
      std::string(aText.substr(0, aText.size() - 1)));
    const posix::ptime epoch(boost::gregorian::date(1970, 1, 1));
    return LogTime(
      std::chrono::microseconds((time - epoch).total_microseconds()));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// Returns the name of the daemon from the text in front of a line: its last
/// word.
std::string
SourceFromPrefix(std::string_view aPrefix, std::string_view aDefault)
{
  std::istringstream words{ std::string(aPrefix) };
  std::string source(aDefault);
  for (std::string word; words >> word;) {
    source = word;
  }
  return source;
}

}

std::string_view
LogRecord::Text(std::string_view aField) const
{
  const json::value* value = FindField(this->fields, aField);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  const json::string& text = value->as_string();
  return { text.data(), text.size() };
}

std::optional<std::chrono::microseconds>
LogRecord::DurationOf(std::string_view aField) const
{
  const json::value* value = FindField(this->fields, aField);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  const std::chrono::duration<double, std::milli> time(
    value->to_number<double>());
  return std::chrono::duration_cast<std::chrono::microseconds>(time);
}

std::optional<LogRecord>
ParseLogLine(std::string_view aLine, std::string_view aSource)
{
  const auto begin = aLine.find('{');
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view text = aLine.substr(begin);
  boost::system::error_code error;
  json::value value =
    json::parse(json::string_view(text.data(), text.size()), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  LogRecord record;
  record.fields = std::move(value.as_object());
  record.event = record.Text("event");
  const auto time = ParseTime(record.Text("time"));
  if (record.event.empty() || !time) {
    return std::nullopt;
  }
  record.time = *time;
  record.source = SourceFromPrefix(aLine.substr(0, begin), aSource);
  return record;
}

std::vector<LogRecord>
ParseLog(std::string_view aText, std::string_view aSource)
{
  std::vector<LogRecord> records;
  std::istringstream lines{ std::string(aText) };
  for (std::string line; std::getline(lines, line);) {
    if (auto record = ParseLogLine(line, aSource)) {
      records.push_back(std::move(*record));
    }
  }
  return records;
}

}
