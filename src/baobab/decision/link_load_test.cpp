#include "baobab/decision/link_load.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr TimePoint kNow{ 1h };

}

BOOST_AUTO_TEST_SUITE(link_load)

BOOST_AUTO_TEST_CASE(a_link_of_unknown_rate_has_no_backlog)
{
  LinkLoad link;
  link.Add(1 << 30, kNow);
  BOOST_TEST((link.Backlog(kNow) == 0s));
}

BOOST_AUTO_TEST_CASE(answers_that_exceed_the_link_add_up)
{
  LinkLoad link;
  link.SetRate(1'000'000);
  for (int i = 0; i < 10; ++i) {
    link.Add(75'000, kNow);
  }
  BOOST_TEST((link.Backlog(kNow) > 900ms));
  BOOST_TEST((link.Backlog(kNow) < 1100ms));
  BOOST_TEST((link.Backlog(kNow + 600ms) < 500ms));
  BOOST_TEST((link.Backlog(kNow + 2s) == 0s));
}

BOOST_AUTO_TEST_SUITE_END()

}
