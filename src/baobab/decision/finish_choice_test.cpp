#include "baobab/decision/finish_choice.hpp"

#include <array>
#include <boost/test/unit_test.hpp>

namespace baobab {

BOOST_AUTO_TEST_SUITE(finish_choice)

BOOST_AUTO_TEST_CASE(
  chooses_the_earliest_finish_and_returns_the_next_as_alternative)
{
  SplitMix random(1);
  const std::array<Candidate, 3> candidates{ Candidate{ 300ms },
                                             Candidate{ 100ms },
                                             Candidate{ 200ms } };
  const auto choice = ChooseFirstToFinish(candidates, random);
  BOOST_REQUIRE(choice.has_value());
  BOOST_TEST(choice->index == 1U);
  BOOST_TEST((choice->alternative == Duration(200ms)));
}

BOOST_AUTO_TEST_CASE(
  a_distant_target_is_chosen_only_for_a_gain_above_its_penalty)
{
  SplitMix random(1);
  const auto chosen = [&](Duration aNear) {
    const std::array<Candidate, 2> candidates{ Candidate{ aNear },
                                               Candidate{ 100ms, 50ms } };
    return ChooseFirstToFinish(candidates, random)->index;
  };
  BOOST_TEST(chosen(140ms) == 0U);
  BOOST_TEST(chosen(170ms) == 1U);
}

BOOST_AUTO_TEST_CASE(calls_are_spread_over_about_equal_targets)
{
  SplitMix random(1);
  const std::array<Candidate, 2> candidates{ Candidate{ 100ms },
                                             Candidate{ 101ms } };
  std::array<int, 2> counts{};
  for (int i = 0; i < 1000; ++i) {
    ++counts[ChooseFirstToFinish(candidates, random)->index];
  }
  BOOST_TEST(counts[0] > 400);
  BOOST_TEST(counts[1] > 400);
}

BOOST_AUTO_TEST_CASE(a_single_target_has_no_alternative)
{
  SplitMix random(1);
  const std::array<Candidate, 1> one{ Candidate{ 100ms } };
  BOOST_TEST(!ChooseFirstToFinish(one, random)->alternative.has_value());
  BOOST_TEST(!ChooseFirstToFinish({}, random).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
