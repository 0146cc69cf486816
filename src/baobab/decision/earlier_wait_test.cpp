#include "baobab/decision/earlier_wait.hpp"

#include "baobab/core/random.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr TimePoint kNow{ 1h };

/// First attempts of callers that allow 1,250 to 1,500 ms.
Duration
FirstAttempt(SplitMix& aRandom)
{
  return std::chrono::duration_cast<Duration>(
    (1.25 + 0.25 * UniformFraction(aRandom)) * 1s);
}

}

BOOST_AUTO_TEST_SUITE(earlier_wait)

/// Two fifths of the calls are returns with 300 to 700 ms left, as in an
/// overload in which half of the calls are refused.
BOOST_AUTO_TEST_CASE(returning_callers_are_told_from_new_ones)
{
  EarlierWait wait;
  SplitMix random(3);
  for (int i = 0; i < 2000; ++i) {
    BOOST_TEST((wait.Observe(FirstAttempt(random), kNow) == 0s));
    wait.RecordFailure(kNow);
    if (i % 3 == 0) {
      continue;
    }
    const auto left = std::chrono::duration_cast<Duration>(
      (0.3 + 0.4 * UniformFraction(random)) * 1s);
    const Duration before = wait.Observe(left, kNow);
    BOOST_TEST((before + left > 1200ms));
    BOOST_TEST((before + left < 1600ms));
  }
}

/// Callers that simply allow less time must not be taken for returning ones.
BOOST_AUTO_TEST_CASE(impatient_callers_are_new_while_nothing_fails)
{
  EarlierWait wait;
  SplitMix random(3);
  for (int i = 0; i < 500; ++i) {
    BOOST_TEST((wait.Observe(FirstAttempt(random), kNow) == 0s));
    BOOST_TEST((wait.Observe(400ms, kNow) == 0s));
  }
}

BOOST_AUTO_TEST_CASE(a_failure_is_forgotten_when_its_caller_has_given_up)
{
  EarlierWait wait;
  SplitMix random(3);
  for (int i = 0; i < 100; ++i) {
    wait.Observe(FirstAttempt(random), kNow);
  }
  wait.RecordFailure(kNow);
  BOOST_TEST((wait.Observe(400ms, kNow + 2s) == 0s));
}

BOOST_AUTO_TEST_CASE(each_failure_accounts_for_one_return)
{
  EarlierWait wait;
  wait.Observe(1s, kNow);
  wait.RecordFailure(kNow);
  BOOST_TEST((wait.Observe(400ms, kNow) > 0s));
  BOOST_TEST((wait.Observe(400ms, kNow) == 0s));
}

BOOST_AUTO_TEST_SUITE_END()

}
