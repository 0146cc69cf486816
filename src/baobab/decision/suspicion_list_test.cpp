#include "baobab/decision/suspicion_list.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

const WallTime kNow{ std::chrono::hours(1000) };

}

BOOST_AUTO_TEST_SUITE(suspicion_list)

BOOST_AUTO_TEST_CASE(a_list_is_read_as_written_with_the_time_that_is_left)
{
  const std::vector<Suspicion> written = { { 0xffffffffffffffff, 1, 0.5 },
                                           { 2, 3, 1, false, 600s } };
  const auto read =
    ParseSuspicions(FormatSuspicions(written, kNow), kNow + 100s);
  BOOST_REQUIRE(read.size() == 1U);
  BOOST_TEST((read[0] == Suspicion{ 2, 3, 1, false, 500s }));
}

BOOST_AUTO_TEST_CASE(odd_lines_cost_only_themselves)
{
  const std::string good =
    FormatSuspicions(std::vector<Suspicion>{ { 2, 3, 1, false, 600s } }, kNow);
  for (const std::string odd : { "",
                                 "x",
                                 "2 3",
                                 "2 3 1",
                                 "2 3 nan 9999999999999",
                                 "2 3 -1 99999999999",
                                 "2 3 1 99999999999999999999",
                                 "2 3 1 9223372036854775807",
                                 "zz 3 1 9999999999999",
                                 "2 3 1 -5",
                                 "2 3 1 1" }) {
    std::string text = odd;
    text.append("\n").append(good).append(odd);
    const auto read = ParseSuspicions(text, kNow);
    BOOST_TEST(read.size() == 1U, "with '" << odd << "'");
  }
}

BOOST_AUTO_TEST_CASE(merging_adds_what_is_held_and_drops_what_was_cleared)
{
  const std::vector<Suspicion> held = { { 1, 1, 1, false, 9s },
                                        { 2, 2, 1, false, 9s } };
  const std::vector<Suspicion> cleared = { { 3, 3, 1, true, 9s } };
  const auto merged = MergeSuspicions(
    { { 2, 2, 1, false, 9s }, { 3, 3, 1, false, 9s } }, held, cleared);
  BOOST_REQUIRE(merged.size() == 2U);
  BOOST_TEST(merged[0].fingerprint == 2U);
  BOOST_TEST(merged[1].fingerprint == 1U);
}

BOOST_AUTO_TEST_CASE(a_list_has_a_bounded_length)
{
  std::vector<Suspicion> held;
  for (std::uint64_t i = 0; i < 5000; ++i) {
    held.push_back({ i, i, 1, false, Duration(1s) + Millis(i) });
  }
  const auto merged = MergeSuspicions({}, held, {});
  BOOST_TEST(merged.size() == 1000U);
  BOOST_TEST(merged.front().fingerprint == 4999U);
}

BOOST_AUTO_TEST_SUITE_END()

}
