#include "baobab/trace/clock_offsets.hpp"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace baobab {
namespace {

using Micros = std::chrono::microseconds;

/// Start and end of an attempt as logged by one daemon.
struct Interval
{
  std::string source;
  LogTime begin;
  LogTime end;
};

/// Intervals of attempts, keyed by the ID of the attempt.
using Intervals = std::unordered_map<std::string, Interval>;

/// Returns the `call_ended` lines by request. Times of attempts are logged
/// relative to the arrival of their call, which follows from these lines.
std::unordered_map<std::string, const LogRecord*>
EndsByRequest(const std::vector<LogRecord>& aRecords)
{
  std::unordered_map<std::string, const LogRecord*> ends;
  for (const LogRecord& record : aRecords) {
    if (record.event == "call_ended") {
      ends[std::string(record.Text("request"))] = &record;
    }
  }
  return ends;
}

/// Returns the attempts as logged by the daemons that sent them.
Intervals
IntervalsAtSenders(const std::vector<LogRecord>& aRecords)
{
  const auto ends = EndsByRequest(aRecords);
  Intervals intervals;
  for (const LogRecord& record : aRecords) {
    const auto end = ends.find(std::string(record.Text("request")));
    const auto began = record.DurationOf("began_ms");
    const auto took = record.DurationOf("took_ms");
    if (record.event != "call_attempt" || end == ends.end() || !began ||
        !took || end->second->source != record.source) {
      continue;
    }
    const LogTime arrival =
      end->second->time -
      end->second->DurationOf("took_ms").value_or(Micros(0));
    intervals[std::string(record.Text("call"))] = { record.source,
                                                    arrival + *began,
                                                    arrival + *began + *took };
  }
  return intervals;
}

/// Returns the attempts as logged by the daemons of the targets.
Intervals
IntervalsAtTargets(const std::vector<LogRecord>& aRecords)
{
  Intervals intervals;
  for (const LogRecord& record : aRecords) {
    const bool isEnd = record.event == "call_finished" ||
                       record.event == "call_refused" ||
                       record.event == "call_lost";
    if (isEnd) {
      const Micros duration =
        record.DurationOf("waited_ms").value_or(Micros(0)) +
        record.DurationOf("ran_ms").value_or(Micros(0));
      intervals[std::string(record.Text("call"))] = { record.source,
                                                      record.time - duration,
                                                      record.time };
    }
  }
  return intervals;
}

}

ClockOffsets
EstimateOffsets(const std::vector<LogRecord>& aRecords)
{
  const Intervals atSenders = IntervalsAtSenders(aRecords);
  const Intervals atTargets = IntervalsAtTargets(aRecords);
  std::map<std::pair<std::string, std::string>, std::vector<Micros>> samples;
  for (const auto& [call, sender] : atSenders) {
    const auto target = atTargets.find(call);
    if (target != atTargets.end()) {
      const Micros offset = ((target->second.begin - sender.begin) +
                             (target->second.end - sender.end)) /
                            2;
      samples[{ sender.source, target->second.source }].push_back(offset);
    }
  }
  ClockOffsets offsets;
  for (auto& [pair, values] : samples) {
    const auto median =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, median);
    offsets[pair] = *median;
  }
  return offsets;
}

}
