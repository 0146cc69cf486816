#include "baobab/node/status_agent.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {

BOOST_AUTO_TEST_SUITE(status_reports)

BOOST_AUTO_TEST_CASE(counts_of_intervals_are_added_to_a_report)
{
  const CountsByService before = { { "a", { 5, 0, 0, 1, 0 }, 100 },
                                   { "b", { 3, 0, 0, 0, 0 }, 10 } };
  const CountsByService after = { { "a", { 9, 1, 0, 1, 0 }, 160 },
                                  { "b", { 3, 0, 0, 0, 0 }, 10 },
                                  { "c", { 1, 0, 0, 0, 0 }, 0 } };
  const CountsByService interval = CountsBetween(before, after);
  BOOST_REQUIRE(interval.size() == 2U);
  BOOST_TEST((interval[0] == ServiceCounts{ "a", { 4, 1, 0, 0, 0 }, 60 }));
  BurnReport report;
  AddCounts(report, interval);
  AddCounts(report, interval);
  BOOST_REQUIRE(report.services.size() == 2U);
  BOOST_TEST(
    (report.services[0] == ServiceCounts{ "a", { 8, 2, 0, 0, 0 }, 120 }));
}

BOOST_AUTO_TEST_SUITE_END()

}
