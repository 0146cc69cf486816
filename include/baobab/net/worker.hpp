/// @file
/// A thread with its own I/O context and fibers.
#pragma once

#include "baobab/core/time.hpp"
#include "baobab/net/fiber_scheduler.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future/future.hpp>
#include <functional>
#include <thread>

namespace baobab {

/// Runs fibers and I/O on one thread until it is stopped.
class Worker
{
public:
  Worker() = default;
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  ~Worker();

  /// Starts the thread.
  /// @param aMain runs as its first fiber
  void Start(std::function<void()> aMain);

  /// Runs on the calling thread instead of a new one, until Stop is called.
  void RunHere(std::function<void()> aMain);

  /// Asks the thread to end. Fibers that still run are not waited for.
  void Stop();

  /// Runs a function on a new fiber of this worker. Can be called from any
  /// thread.
  template<class F>
  void Post(F aFunction)
  {
    boost::asio::post(
      this->context, [function = std::move(aFunction)]() mutable {
        boost::fibers::fiber(boost::fibers::launch::post, std::move(function))
          .detach();
      });
  }

  /// Waits until this worker has run a handler of its I/O context and a fiber,
  /// which shows that it makes progress. Call it on fibers of one other worker
  /// only.
  /// @param aTime longest wait
  /// @return false if the worker did not respond in time
  bool RespondsWithin(Duration aTime);

  boost::asio::io_context& Context() { return this->context; }

private:
  boost::asio::io_context context{ 1 };
  std::atomic<bool> stopping{ false };
  /// Response to the last check; a worker that makes no progress is not asked
  /// again.
  boost::fibers::shared_future<void> response;
  std::thread thread;
};

/// Starts a fiber on the current thread.
template<class F>
void
Spawn(F aFunction)
{
  boost::fibers::fiber(boost::fibers::launch::post, std::move(aFunction))
    .detach();
}

}
