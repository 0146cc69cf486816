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

/// Found by a hunt on 68 hosts: with 988 more routes everyone pulled from the
/// few readers, one peer at a time, and the last daemon was done after 6 s.
BOOST_AUTO_TEST_CASE(a_slow_peer_does_not_keep_others_from_being_asked)
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

BOOST_AUTO_TEST_SUITE_END()

}
