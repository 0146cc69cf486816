#include "baobab/net/fiber_event.hpp"
#include "baobab/net/worker.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>

namespace baobab {
namespace {

/// Longest time that a test waits for its worker.
constexpr std::chrono::seconds kTestTime{ 20 };

/// Runs a function on a new worker. Returns false if it does not return in
/// time; the worker is then never destroyed, as its thread cannot be joined.
bool
ReturnsOnWorker(std::function<void(boost::asio::io_context&)> aBody)
{
  auto worker = std::make_unique<Worker>();
  auto done = std::make_shared<std::promise<void>>();
  auto returned = done->get_future();
  worker->Start([done, body = std::move(aBody), &context = worker->Context()] {
    body(context);
    done->set_value();
  });
  if (returned.wait_for(kTestTime) == std::future_status::ready) {
    return true;
  }
  static_cast<void>(worker.release());
  return false;
}

/// Fiber that is always ready to run, until this object is destroyed.
class BusyFiber
{
public:
  BusyFiber()
    : fiber([this] {
      while (!this->stopping) {
        boost::this_fiber::yield();
      }
    })
  {
  }
  BusyFiber(const BusyFiber&) = delete;
  BusyFiber& operator=(const BusyFiber&) = delete;
  ~BusyFiber()
  {
    this->stopping = true;
    this->fiber.join();
  }

private:
  bool stopping = false;
  boost::fibers::fiber fiber;
};

void
Yield(unsigned aTimes)
{
  for (unsigned i = 0; i < aTimes; ++i) {
    boost::this_fiber::yield();
  }
}

}

BOOST_AUTO_TEST_SUITE(fiber_scheduler)

// The worker waited for itself for ever: an I/O handler notified the condition
// variable whose lock was held by the fiber that was just being suspended.
BOOST_AUTO_TEST_CASE(io_handler_can_wake_a_fiber_while_it_is_being_suspended)
{
  BOOST_TEST(ReturnsOnWorker([](boost::asio::io_context& aContext) {
    const BusyFiber busy;
    constexpr unsigned kPhases = 256;
    constexpr unsigned kRounds = 4;
    FiberEvent event;
    for (unsigned i = 0; i < kPhases * kRounds; ++i) {
      Yield(i % kPhases);
      boost::asio::post(aContext, [&] { event.Notify(); });
      event.Wait();
    }
  }));
}

BOOST_AUTO_TEST_CASE(io_handlers_run_although_a_fiber_is_always_ready)
{
  BOOST_TEST(ReturnsOnWorker([](boost::asio::io_context& aContext) {
    const BusyFiber busy;
    constexpr unsigned kMostYields = 1000;
    bool ran = false;
    boost::asio::post(aContext, [&] { ran = true; });
    Yield(kMostYields);
    BOOST_TEST(ran);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}
