#include "baobab/net/log.hpp"

#include "baobab/net/log_events.hpp"
#include "log_sink.hpp"

#include <algorithm>
#include <atomic>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <semaphore>
#include <thread>

namespace baobab {
namespace {

/// Time for which lines are collected before they are written together.
constexpr Duration kWriteDelay = 100ms;

/// Minimum time between two reports of dropped lines.
constexpr Duration kDropReportPeriod = 1s;

/// Longest time that StopLog waits for the reader of the log.
constexpr Duration kStopTimeout = 300ms;
constexpr Duration kStopCheckPeriod = 5ms;

/// Lines in the queue from which DropFirst events are dropped.
constexpr std::size_t kDropFirstLines = kLogQueueLines / 2;

struct LogState
{
  std::atomic<bool> started = false;
  LogFormat format = LogFormat::Json;
  std::atomic<LogLevel> level = LogLevel::Info;
  boost::shared_ptr<DescriptorBackend> backend;
  boost::shared_ptr<LogSink> sink;
  /// True if the writer has been woken for lines that it has not started to
  /// write yet.
  std::atomic<bool> writeDue = false;
  std::counting_semaphore<> wake{ 0 };
  std::atomic<bool> stopping = false;
  std::atomic<bool> stopped = false;
};

/// Never destroyed, because the writer thread may still run during exit.
LogState&
State()
{
  static auto* state = new LogState();
  return *state;
}

LogLevel
ParseLevel(std::string_view aText)
{
  for (const LogLevel level :
       { LogLevel::Debug, LogLevel::Warning, LogLevel::Error }) {
    if (Name(level) == aText) {
      return level;
    }
  }
  return LogLevel::Info;
}

/// Returns the current time in UTC in ISO 8601 format.
std::string
TimestampNow()
{
  return boost::posix_time::to_iso_extended_string(
           boost::posix_time::microsec_clock::universal_time()) +
         "Z";
}

/// Logs how many lines were dropped, at most once in kDropReportPeriod.
/// @param aReportedAt time of the last report; updated
void
ReportDropped(TimePoint& aReportedAt)
{
  const TimePoint now = std::chrono::steady_clock::now();
  if (now - aReportedAt < kDropReportPeriod) {
    return;
  }
  const std::size_t dropped = QueueState().dropped.exchange(0);
  if (dropped == 0) {
    return;
  }
  aReportedAt = now;
  LogLine line =
    log_detail::Begin(kLogDropped.name, kLogDropped.channel, kLogDropped.level);
  line.Add(kLogDropped.fields[0].name, dropped);
  State().backend->Append(std::move(line).Finish());
}

/// Writes queued lines until StopLog is called; the writer thread's main
/// function.
void
RunWriter()
{
  LogState& state = State();
  TimePoint reportedAt{};
  while (!state.stopping) {
    state.wake.acquire();
    if (!state.stopping) {
      std::this_thread::sleep_for(kWriteDelay);
    }
    state.writeDue = false;
    state.sink->feed_records();
    ReportDropped(reportedAt);
    state.backend->Write();
  }
  state.stopped = true;
}

}

void
InitLog(const LogOptions& aOptions)
{
  LogState& state = State();
  if (state.started) {
    return;
  }
  state.format = aOptions.format;
  state.level = ParseLevel(aOptions.level);
  state.backend = boost::make_shared<DescriptorBackend>(aOptions.descriptor);
  state.sink = boost::make_shared<LogSink>(state.backend, false);
  state.sink->set_formatter(boost::log::expressions::stream
                            << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(state.sink);
  state.started = true;
  std::thread(RunWriter).detach();
}

void
SetLogLevel(std::string_view aLevel)
{
  State().level = ParseLevel(aLevel);
}

void
StopLog()
{
  LogState& state = State();
  if (!state.started) {
    return;
  }
  state.stopping = true;
  state.wake.release();
  const TimePoint end = std::chrono::steady_clock::now() + kStopTimeout;
  while (!state.stopped && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kStopCheckPeriod);
  }
}

bool
LogEnabled(LogLevel aLevel, LogDropPolicy aDropPolicy)
{
  LogState& state = State();
  if (!state.started || aLevel < state.level) {
    return false;
  }
  if (aDropPolicy == LogDropPolicy::DropFirst &&
      QueueState().waiting >= kDropFirstLines) {
    ++QueueState().dropped;
    return false;
  }
  return true;
}

namespace log_detail {

LogLine
Begin(std::string_view aEvent, std::string_view aChannel, LogLevel aLevel)
{
  LogLine line(State().format);
  line.Add("time", std::string_view(TimestampNow()));
  line.Add("level", Name(aLevel));
  line.Add("channel", aChannel);
  line.Add("event", aEvent);
  return line;
}

void
Submit(LogLine&& aLine)
{
  LogState& state = State();
  thread_local boost::log::sources::logger logger;
  const std::string text = std::move(aLine).Finish();
  ++QueueState().waiting;
  BOOST_LOG(logger) << text;
  if (!state.writeDue.exchange(true)) {
    state.wake.release();
  }
}

}

}
