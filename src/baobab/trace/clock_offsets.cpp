#include "baobab/trace/clock_offsets.hpp"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace baobab {
namespace {

using Micros = std::chrono::microseconds;

/// An attempt as one of the daemons saw it.
struct Interval
{
  std::string source;
  LogTime begin;
  LogTime end;
};

using Intervals = std::unordered_map<std::string, Interval>;

/// Ends of calls, by request: attempts tell their times from the arrival.
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

Intervals
SeenByCallers(const std::vector<LogRecord>& aRecords)
{
  const auto ends = EndsByRequest(aRecords);
  Intervals seen;
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
    seen[std::string(record.Text("call"))] = { record.source,
                                               arrival + *began,
                                               arrival + *began + *took };
  }
  return seen;
}

Intervals
SeenByTargets(const std::vector<LogRecord>& aRecords)
{
  Intervals seen;
  for (const LogRecord& record : aRecords) {
    const bool ends = record.event == "call_finished" ||
                      record.event == "call_refused" ||
                      record.event == "call_lost";
    if (ends) {
      const Micros held = record.DurationOf("waited_ms").value_or(Micros(0)) +
                          record.DurationOf("ran_ms").value_or(Micros(0));
      seen[std::string(record.Text("call"))] = { record.source,
                                                 record.time - held,
                                                 record.time };
    }
  }
  return seen;
}

}

ClockOffsets
EstimateOffsets(const std::vector<LogRecord>& aRecords)
{
  const Intervals callers = SeenByCallers(aRecords);
  const Intervals targets = SeenByTargets(aRecords);
  std::map<std::pair<std::string, std::string>, std::vector<Micros>> samples;
  for (const auto& [call, here] : callers) {
    const auto there = targets.find(call);
    if (there != targets.end()) {
      const Micros offset =
        ((there->second.begin - here.begin) + (there->second.end - here.end)) /
        2;
      samples[{ here.source, there->second.source }].push_back(offset);
    }
  }
  ClockOffsets offsets;
  for (auto& [pair, values] : samples) {
    const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    offsets[pair] = *middle;
  }
  return offsets;
}

}
