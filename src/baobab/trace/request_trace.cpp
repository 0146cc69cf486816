#include "baobab/trace/request_trace.hpp"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <set>

namespace baobab {
namespace {

using Micros = std::chrono::microseconds;

/// True for fields that the text of a step shows in another way or omits.
bool
IsImplied(std::string_view aField)
{
  constexpr std::array<std::string_view, 5> kImplied = {
    "time", "level", "channel", "event", "request"
  };
  return std::ranges::find(kImplied, aField) != kImplied.end();
}

/// Returns the ID of the request to which a request or attempt ID refers.
std::string
RequestOf(const std::vector<LogRecord>& aRecords, std::string_view aId)
{
  const auto found =
    std::ranges::find_if(aRecords, [&](const LogRecord& aRecord) {
      return aRecord.event == "call_attempt" && aRecord.Text("call") == aId;
    });
  return std::string(found == aRecords.end() ? aId : found->Text("request"));
}

/// Returns the IDs of the attempts of a request.
std::set<std::string, std::less<>>
CallsOf(const std::vector<LogRecord>& aRecords, std::string_view aRequest)
{
  std::set<std::string, std::less<>> calls;
  for (const LogRecord& record : aRecords) {
    if (record.event == "call_attempt" && record.Text("request") == aRequest) {
      calls.emplace(record.Text("call"));
    }
  }
  return calls;
}

/// Returns the time of a step. Attempts are logged when the call has ended, but
/// are shown at the time at which they started.
/// @param aEnd the `call_ended` line of the request, if it is known
LogTime
TimeOf(const LogRecord& aRecord, const LogRecord* aEnd)
{
  if (aRecord.event != "call_attempt" || aEnd == nullptr) {
    return aRecord.time;
  }
  return aEnd->time - aEnd->DurationOf("took_ms").value_or(Micros(0)) +
         aRecord.DurationOf("began_ms").value_or(Micros(0));
}

/// Formats a value, without quotes where this is unambiguous.
std::string
ValueText(const boost::json::value& aValue)
{
  if (aValue.is_double()) {
    char number[32];
    std::snprintf(number, sizeof number, "%.6g", aValue.as_double());
    return number;
  }
  const auto* text = aValue.if_string();
  const bool plain = text != nullptr && !text->empty() &&
                     text->find(' ') == boost::json::string::npos;
  return plain ? std::string(text->data(), text->size())
               : boost::json::serialize(aValue);
}

std::string
FieldsText(const LogRecord& aRecord)
{
  std::string text;
  for (const auto& field : aRecord.fields) {
    const std::string_view name(field.key().data(), field.key().size());
    if (IsImplied(name)) {
      continue;
    }
    text += " " + std::string(name) + "=" + ValueText(field.value());
  }
  return text;
}

}

std::vector<TraceStep>
TraceRequest(const std::vector<LogRecord>& aRecords, std::string_view aId)
{
  const std::string request = RequestOf(aRecords, aId);
  const auto calls = CallsOf(aRecords, request);
  const auto isPartOfRequest = [&](const LogRecord& aRecord) {
    return aRecord.Text("request") == request ||
           calls.contains(aRecord.Text("call"));
  };
  const auto end =
    std::ranges::find_if(aRecords, [&](const LogRecord& aRecord) {
      return aRecord.event == "call_ended" &&
             aRecord.Text("request") == request;
    });
  const LogRecord* ended = end == aRecords.end() ? nullptr : &*end;
  const ClockOffsets offsets = EstimateOffsets(aRecords);
  const auto offsetOf = [&](const LogRecord& aRecord) {
    const auto found = ended == nullptr
                         ? offsets.end()
                         : offsets.find({ ended->source, aRecord.source });
    return found == offsets.end() ? Micros(0) : found->second;
  };
  std::vector<std::pair<LogTime, const LogRecord*>> steps;
  for (const LogRecord& record : aRecords) {
    if (isPartOfRequest(record)) {
      steps.emplace_back(TimeOf(record, ended) - offsetOf(record), &record);
    }
  }
  std::ranges::stable_sort(
    steps, {}, [](const auto& aStep) { return aStep.first; });
  std::vector<TraceStep> trace;
  for (const auto& [time, record] : steps) {
    trace.push_back({ time - steps.front().first, record });
  }
  return trace;
}

std::string
FormatTrace(const std::vector<TraceStep>& aSteps)
{
  std::string text;
  for (const TraceStep& step : aSteps) {
    char time[32];
    std::snprintf(
      time,
      sizeof time,
      "%+11.3f ms  ",
      std::chrono::duration<double, std::milli>(step.sinceFirstStep).count());
    text += time + step.record->source + "  " + step.record->event +
            FieldsText(*step.record) + "\n";
  }
  return text;
}

std::string
FormatUnsuccessfulRequests(const std::vector<LogRecord>& aRecords,
                           std::size_t aMaxLines)
{
  std::vector<const LogRecord*> unsuccessful;
  for (const LogRecord& record : aRecords) {
    if (record.event == "call_ended" && record.Text("class") != "good") {
      unsuccessful.push_back(&record);
    }
  }
  std::ranges::stable_sort(
    unsuccessful, {}, [](const LogRecord* aRecord) { return aRecord->time; });
  const std::size_t skipped =
    unsuccessful.size() > aMaxLines ? unsuccessful.size() - aMaxLines : 0;
  std::string text;
  for (std::size_t i = skipped; i < unsuccessful.size(); ++i) {
    const LogRecord& record = *unsuccessful[i];
    text += std::string(record.Text("time")) + "  " + record.source + "  " +
            std::string(record.Text("request")) + "  " +
            std::string(record.Text("class")) + "  " +
            std::string(record.Text("service")) + "  " +
            std::string(record.Text("detail")) + "\n";
  }
  return text;
}

}
