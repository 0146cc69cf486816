#include "baobab/node/metrics.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

bool
Contains(const MetricsPage& aPage, std::string_view aLine)
{
  return aPage.Text().find(std::string(aLine) + "\n") != std::string::npos;
}

}

BOOST_AUTO_TEST_SUITE(metrics)

BOOST_AUTO_TEST_CASE(values_are_grouped_by_name_under_their_type)
{
  MetricsPage page;
  page.Add("calls_total", "class=\"a\"", 1);
  page.Add("members", "", 3);
  page.Add("calls_total", "class=\"b\"", 2);
  BOOST_TEST(page.Text() == "# TYPE baobab_calls_total counter\n"
                            "baobab_calls_total{class=\"a\"} 1\n"
                            "baobab_calls_total{class=\"b\"} 2\n"
                            "# TYPE baobab_members gauge\n"
                            "baobab_members 3\n");
}

BOOST_AUTO_TEST_CASE(latencies_are_split_by_idempotence_and_class)
{
  ServiceStats stats;
  stats.Record(true, CallClass::Good, std::chrono::milliseconds(20));
  stats.Record(false, CallClass::Late, std::chrono::seconds(3));
  MetricsPage page;
  page.AddService("q", stats);
  BOOST_TEST(Contains(page,
                      "baobab_call_seconds_bucket{service=\"q\",idempotent="
                      "\"true\",class=\"good\",le=\"0.025\"} 1"));
  BOOST_TEST(Contains(page,
                      "baobab_call_seconds_sum{service=\"q\",idempotent="
                      "\"false\",class=\"late\"} 3"));
  BOOST_TEST(
    Contains(page, "baobab_calls_total{service=\"q\",class=\"late\"} 1"));
}

BOOST_AUTO_TEST_CASE(statistics_of_workers_add_up)
{
  WorkerStats one;
  WorkerStats other;
  one["q"].Record(true, CallClass::Good, std::chrono::seconds(1));
  other["q"].Record(true, CallClass::Good, std::chrono::seconds(2));
  other["q"].networkTimes.Record(std::chrono::milliseconds(1));
  MergeStats(one, other);
  const auto& merged = one["q"].latencies.at({ true, CallClass::Good });
  BOOST_TEST(merged.Count() == 2);
  BOOST_TEST(merged.Sum() == 3, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(one["q"].networkTimes.Count() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}
