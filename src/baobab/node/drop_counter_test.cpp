#include "baobab/node/drop_counter.hpp"

#include "baobab/net/log_events.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {

BOOST_AUTO_TEST_SUITE(drop_counter)

BOOST_AUTO_TEST_CASE(drops_are_counted_by_reason_and_logged_at_a_bounded_rate)
{
  DropCounter counter(kGossipRefused);
  for (int i = 0; i < 100; ++i) {
    counter.Record("not a gossip datagram", TimePoint(1h) + i * 1ms);
  }
  counter.Record("another reason", TimePoint(1h));
  BOOST_TEST(counter.Total() == 101U);
  const auto& drops = counter.Reasons().find("not a gossip datagram")->second;
  BOOST_TEST(drops.total == 100U);
  // The first drop was logged; the others wait for the next line.
  BOOST_TEST(drops.unlogged == 99U);
  counter.Record("not a gossip datagram", TimePoint(1h) + 10s);
  BOOST_TEST(drops.unlogged == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}
