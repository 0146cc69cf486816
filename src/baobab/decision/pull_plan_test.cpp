#include "baobab/decision/pull_plan.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr TimePoint kNow{ 1h };

}

BOOST_AUTO_TEST_SUITE(pull_plan)

BOOST_AUTO_TEST_CASE(only_a_newer_generation_is_pulled)
{
  PullPlan plan;
  BOOST_TEST(!plan.TryStartPull(4, 4, kNow));
  BOOST_TEST(plan.TryStartPull(5, 4, kNow));
}

/// With one pull at a time, all daemons wait for the few peers that have a new
/// configuration first. On 68 hosts with 988 new routes the last daemon took
/// 6 s.
BOOST_AUTO_TEST_CASE(another_peer_is_asked_while_a_pull_is_slow)
{
  PullPlan plan;
  BOOST_TEST(plan.TryStartPull(5, 4, kNow));
  BOOST_TEST(!plan.TryStartPull(5, 4, kNow + 100ms));
  BOOST_TEST(plan.TryStartPull(5, 4, kNow + 300ms));
  BOOST_TEST(plan.TryStartPull(5, 4, kNow + 600ms));
  BOOST_TEST(!plan.TryStartPull(5, 4, kNow + 900ms));
  plan.EndPull();
  BOOST_TEST(plan.TryStartPull(5, 4, kNow + 900ms));
}

/// Three peers that had stopped after they told of a change kept a daemon from
/// asking others until the pulls had timed out.
BOOST_AUTO_TEST_CASE(pulls_that_hang_do_not_keep_others_from_starting)
{
  PullPlan plan;
  int started = 0;
  for (TimePoint now = kNow; now < kNow + 2s; now += 50ms) {
    started += plan.TryStartPull(5, 4, now) ? 1 : 0;
  }
  BOOST_TEST(started > 3);
  BOOST_TEST(started <= 6);
}

BOOST_AUTO_TEST_SUITE_END()

}
