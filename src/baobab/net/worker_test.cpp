#include "baobab/net/worker.hpp"

#include "testing/on_fiber.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

namespace baobab {

BOOST_AUTO_TEST_SUITE(worker)

BOOST_AUTO_TEST_CASE(running_worker_responds)
{
  Worker worker;
  worker.Start([] {});
  OnFiber([&](auto&) {
    BOOST_TEST(worker.RespondsWithin(10s));
    BOOST_TEST(worker.RespondsWithin(10s));
  });
}

// A daemon whose worker had stopped for ever went on saying that it was ready.
BOOST_AUTO_TEST_CASE(worker_that_makes_no_progress_does_not_respond)
{
  Worker worker;
  std::promise<void> blocked;
  std::promise<void> release;
  worker.Start([&] {
    blocked.set_value();
    release.get_future().wait();
  });
  blocked.get_future().wait();
  OnFiber([&](auto&) {
    BOOST_TEST(!worker.RespondsWithin(10ms));
    BOOST_TEST(!worker.RespondsWithin(10ms));
    release.set_value();
    BOOST_TEST(worker.RespondsWithin(10s));
    BOOST_TEST(worker.RespondsWithin(10s));
  });
}

BOOST_AUTO_TEST_SUITE_END()

}
