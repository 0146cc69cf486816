#include "baobab/decision/quarantine.hpp"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace baobab {
namespace {

constexpr TimePoint kNow{ 1h };
constexpr Fingerprint kKiller = 666;
constexpr double kThreshold = 2;

std::vector<Fingerprint>
Crowd(Fingerprint aFirst)
{
  std::vector<Fingerprint> running{ kKiller };
  for (Fingerprint i = 0; i < 19; ++i) {
    running.push_back(aFirst + i);
  }
  return running;
}

}

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(a_killer_among_healthy_calls_is_refused_after_three)
{
  Quarantine quarantine;
  std::uint64_t crash = 0;
  int crashes = 0;
  while (quarantine.Evaluate(kKiller, kThreshold, kNow) != Verdict::Refuse) {
    ++crash;
    quarantine.RecordCrash(crash, Crowd(1000 * crash), 600s, kNow);
    BOOST_REQUIRE_LE(++crashes, 3);
  }
  BOOST_TEST((quarantine.Evaluate(1005, kThreshold, kNow) == Verdict::Isolate));
}

BOOST_AUTO_TEST_CASE(a_healthy_call_is_cleared_when_it_completes)
{
  Quarantine quarantine;
  quarantine.RecordCrash(1, Crowd(1000), 600s, kNow);
  quarantine.RecordCompletion(1005, kNow);
  BOOST_TEST((quarantine.Evaluate(1005, kThreshold, kNow) == Verdict::Allow));
  BOOST_TEST(
    (quarantine.Evaluate(kKiller, kThreshold, kNow) == Verdict::Isolate));
}

BOOST_AUTO_TEST_CASE(suspicion_and_clearance_spread_and_lapse)
{
  Quarantine here;
  Quarantine there;
  here.RecordCrash(1, std::vector<Fingerprint>{ kKiller }, 600s, kNow);
  here.RecordCrash(2, std::vector<Fingerprint>{ kKiller }, 600s, kNow);
  for (const Suspicion& suspicion : here.TakeNews(8, kNow)) {
    there.Merge(suspicion, kNow);
    there.Merge(suspicion, kNow);
  }
  BOOST_TEST((there.Evaluate(kKiller, kThreshold, kNow) == Verdict::Refuse));
  there.RecordCompletion(kKiller, kNow);
  for (const Suspicion& suspicion : there.TakeNews(8, kNow)) {
    here.Merge(suspicion, kNow);
  }
  BOOST_TEST((here.Evaluate(kKiller, kThreshold, kNow) == Verdict::Allow));
  here.Expire(kNow + 601s);
  BOOST_TEST(here.Size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_stale_suspicion_cannot_live_for_ever)
{
  Quarantine quarantine;
  const Suspicion suspicion{ kKiller, 1, 9, false, 600s };
  quarantine.Merge(suspicion, kNow);
  quarantine.Merge(suspicion, kNow + 300s);
  quarantine.Expire(kNow + 601s);
  BOOST_TEST(quarantine.Size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}
