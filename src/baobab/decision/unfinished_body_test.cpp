#include "baobab/decision/unfinished_body.hpp"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace baobab {
namespace {

constexpr TimePoint kNow{ std::chrono::seconds(100) };

UnfinishedBody
Body(Duration aAge, Duration aQuiet, std::size_t aArrived, std::size_t aLength)
{
  return { kNow - aAge, kNow - aQuiet, aArrived, aLength, aArrived };
}

}

BOOST_AUTO_TEST_SUITE(unfinished_body)

BOOST_AUTO_TEST_CASE(the_longest_stalled_body_gives_way_first)
{
  const std::vector<UnfinishedBody> bodies{ Body(9s, 0s, 1, 100),
                                            Body(9s, 2s, 99, 100),
                                            Body(9s, 3s, 99, 100) };
  BOOST_TEST(ChooseToGiveWay(bodies, 0, kNow) == 2);
}

BOOST_AUTO_TEST_CASE(of_bodies_that_arrive_the_least_complete_gives_way)
{
  const std::vector<UnfinishedBody> bodies{ Body(1s, 0s, 90, 100),
                                            Body(5s, 0s, 10, 100),
                                            Body(9s, 0s, 50, 100) };
  BOOST_TEST(ChooseToGiveWay(bodies, 0, kNow) == 1);
}

BOOST_AUTO_TEST_CASE(of_equally_complete_bodies_the_newest_gives_way)
{
  const std::vector<UnfinishedBody> bodies{ Body(3s, 0s, 50, 100),
                                            Body(1s, 0s, 50, 100),
                                            Body(2s, 0s, 50, 100) };
  BOOST_TEST(ChooseToGiveWay(bodies, 0, kNow) == 1);
}

BOOST_AUTO_TEST_CASE(a_body_without_a_length_gives_way_to_one_that_has_it)
{
  std::vector<UnfinishedBody> bodies{ Body(1s, 0s, 10, 100),
                                      Body(9s, 0s, 90, 100) };
  bodies[1].length.reset();
  BOOST_TEST(ChooseToGiveWay(bodies, 0, kNow) == 1);
}

BOOST_AUTO_TEST_CASE(a_body_that_holds_nothing_is_not_chosen)
{
  std::vector<UnfinishedBody> bodies{ Body(1s, 0s, 10, 100),
                                      Body(9s, 9s, 0, 100) };
  BOOST_TEST(ChooseToGiveWay(bodies, 0, kNow) == 0);
}

/// A crowd that stops just short of its end doesn't keep a caller out whose
/// body arrives.
BOOST_AUTO_TEST_CASE(a_stalled_crowd_gives_way_to_a_new_body)
{
  std::vector<UnfinishedBody> bodies(30, Body(5s, 4s, 99, 100));
  bodies.push_back(Body(0s, 0s, 0, 100));
  for (std::size_t left = 30; left > 0; --left) {
    const std::size_t chosen = ChooseToGiveWay(bodies, bodies.size() - 1, kNow);
    BOOST_TEST(chosen < bodies.size() - 1);
    bodies.erase(bodies.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
  BOOST_TEST(ChooseToGiveWay(bodies, 0, kNow) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}
