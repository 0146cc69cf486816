/// @file
#pragma once

#include <atomic>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <cstddef>
#include <string>

namespace baobab {

/// Lines that wait to be written at most; about 2 MB.
constexpr std::size_t kLogQueueLines = 4096;

/// Figures of the queue between the threads that log and the one that writes.
struct LogQueueState
{
  std::atomic<std::size_t> waiting{ 0 };
  /// Lines that were left out since they were last reported.
  std::atomic<std::size_t> dropped{ 0 };
};

LogQueueState& QueueState();

/// Leaves out a line for which the queue has no room. A member of the queue by
/// Boost.Log's overflow interface.
// NOLINTBEGIN(readability-identifier-naming): the library's own names.
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

/// Collects lines and writes them to a descriptor in few system calls.
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

  /// Called by the library for each line.
  // NOLINTNEXTLINE(readability-identifier-naming): the library's own name.
  void consume(const boost::log::record_view& aRecord,
               const std::string& aLine);

  /// Writes a line that did not pass the queue.
  void Append(const std::string& aLine);

  /// Writes what was collected; blocks until it is taken. A descriptor that
  /// fails loses it.
  void Write();

private:
  int descriptor;
  std::string collected;
};

using LogSink = boost::log::sinks::asynchronous_sink<
  DescriptorBackend,
  boost::log::sinks::bounded_fifo_queue<kLogQueueLines, CountDropped>>;

}
