#include "baobab/net/fiber_scheduler.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>

namespace baobab {
namespace {

namespace asio = boost::asio;
namespace fibers = boost::fibers;

/// Round-robin scheduler that waits for work by running the I/O context.
class ContextScheduler : public fibers::algo::algorithm
{
public:
  explicit ContextScheduler(asio::io_context& aContext)
    : context(aContext)
    , work(asio::make_work_guard(aContext))
  {
  }

  void awakened(fibers::context* aFiber) noexcept override
  {
    aFiber->ready_link(this->ready);
  }

  fibers::context* pick_next() noexcept override
  {
    if (this->ready.empty()) {
      return nullptr;
    }
    // Fibers that keep each other ready must not starve the sockets.
    if (++this->picksSincePoll >= kPicksPerPoll && IsDispatcher()) {
      this->picksSincePoll = 0;
      this->context.poll();
    }
    fibers::context* fiber = &this->ready.front();
    this->ready.pop_front();
    return fiber;
  }

  bool has_ready_fibers() const noexcept override
  {
    return !this->ready.empty();
  }

  /// Runs a single handler, so that the fibers it wakes run next. Handlers that
  /// are ready already then follow without a system call.
  void suspend_until(
    const std::chrono::steady_clock::time_point& aTime) noexcept override
  {
    if (aTime == std::chrono::steady_clock::time_point::max()) {
      this->context.run_one();
    } else {
      this->context.run_one_until(aTime);
    }
  }

  void notify() noexcept override
  {
    asio::post(this->context, [] {});
  }

private:
  /// True on the dispatcher, which gets a turn after all fibers that are ready.
  /// Only there may handlers run: another fiber calls pick_next() while it is
  /// being suspended and may still hold the lock of what it waits for, which a
  /// handler that wakes it would wait for in turn.
  static bool IsDispatcher() noexcept
  {
    return fibers::context::active()->is_context(
      fibers::type::dispatcher_context);
  }

  static constexpr unsigned kPicksPerPoll = 64;

  asio::io_context& context;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  fibers::scheduler::ready_queue_type ready;
  unsigned picksSincePoll = 0;
};

}

void
UseFiberScheduler(asio::io_context& aContext)
{
  fibers::use_scheduling_algorithm<ContextScheduler>(aContext);
}

}
