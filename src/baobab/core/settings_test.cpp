#include "baobab/core/settings.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {

BOOST_AUTO_TEST_SUITE(settings)

/// With a fixed drain time, calls that a target answers within a longer grace
/// time are cut off, and with a shorter grace time the process is killed.
BOOST_AUTO_TEST_CASE(a_shutdown_uses_most_of_the_grace_time_and_ends_before_it)
{
  for (const double grace : { 0.5, 2.0, 6.0, 10.0, 25.0 }) {
    Timeouts timeouts;
    timeouts.graceSeconds = grace;
    timeouts.leave = Millis(2500);
    const ShutdownTimes times = ShutdownTimesOf(timeouts);
    const std::chrono::duration<double> whole(grace);
    BOOST_TEST((times.drain >= whole * 5 / 6));
    BOOST_TEST((times.drain <= whole * 0.9));
    BOOST_TEST((times.leave <= times.drain / 2));
  }
}

BOOST_AUTO_TEST_CASE(without_a_grace_time_the_drain_time_applies)
{
  Timeouts timeouts;
  timeouts.drain = Millis(5000);
  timeouts.leave = Millis(300);
  const ShutdownTimes times = ShutdownTimesOf(timeouts);
  BOOST_TEST((times.drain == 5s));
  BOOST_TEST((times.leave == 300ms));
  timeouts.graceSeconds = 60;
  BOOST_TEST((ShutdownTimesOf(timeouts).drain == 5s));
}

BOOST_AUTO_TEST_SUITE_END()

}
