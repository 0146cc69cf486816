/// @file
#pragma once

#include <atomic>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <cstddef>
#include <string>

namespace baobab {

/// Capacity of the queue of lines; about 2 MB.
constexpr std::size_t kLogQueueLines = 4096;

/// Counters of the queue between the logging threads and the writer thread.
struct LogQueueState
{
  /// Lines in the queue.
  std::atomic<std::size_t> waiting{ 0 };
  /// Lines dropped since the last report.
  std::atomic<std::size_t> dropped{ 0 };
};

/// Returns the counters of the process's queue.
LogQueueState& QueueState();

/// Overflow policy for Boost.Log's queue: drops and counts lines that do not
/// fit.
// NOLINTBEGIN(readability-identifier-naming): names required by Boost.Log
struct CountDropped
{
  template<class Lock>
  static bool on_overflow(const boost::log::record_view&, Lock&)
  {
    --QueueState().waiting;
    ++QueueState().dropped;
    return false;
  }

  static void on_queue_space_available() {}
  static void interrupt() {}
};
// NOLINTEND(readability-identifier-naming)

/// Collects lines and writes them to a file descriptor in few system calls.
class DescriptorBackend
  : public boost::log::sinks::basic_formatted_sink_backend<
      char,
      boost::log::sinks::synchronized_feeding>
{
public:
  explicit DescriptorBackend(int aDescriptor)
    : descriptor(aDescriptor)
  {
  }

  /// Called by Boost.Log for each line.
  // NOLINTNEXTLINE(readability-identifier-naming): name required by Boost.Log
  void consume(const boost::log::record_view& aRecord,
               const std::string& aLine);

  /// Adds a line that did not pass through the queue.
  void Append(const std::string& aLine);

  /// Writes the collected lines, and blocks until they are written. They are
  /// discarded if the write fails.
  void Write();

private:
  int descriptor;
  std::string collected;
};

using LogSink = boost::log::sinks::asynchronous_sink<
  DescriptorBackend,
  boost::log::sinks::bounded_fifo_queue<kLogQueueLines, CountDropped>>;

}
