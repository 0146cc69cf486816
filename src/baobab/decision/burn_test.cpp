#include "baobab/decision/burn_rate.hpp"
#include "baobab/decision/zone_status.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

using namespace std::chrono_literals;

constexpr StatusTime kNow{ 3600000000LL };

BurnReport
Report(std::uint64_t aReporter, std::uint64_t aSequence, std::uint64_t aGood)
{
  return {
    aReporter, aSequence, 5, { { "quoting", { aGood, 0, 0, 1, 0 }, 7 } }
  };
}

}

BOOST_AUTO_TEST_SUITE(burn)

BOOST_AUTO_TEST_CASE(a_repeated_report_counts_once)
{
  ZoneStatus status;
  BOOST_TEST(status.Add(Report(1, 1, 10), kNow));
  BOOST_TEST(!status.Add(Report(1, 1, 10), kNow));
  BOOST_TEST(status.Add(Report(1, 2, 10), kNow));
  BOOST_TEST(status.Add(Report(2, 1, 10), kNow));
  const ServiceStatus& quoting = status.services.at("quoting");
  BOOST_TEST(quoting.calls[0] == 30U);
  BOOST_TEST(quoting.series.Last(5min, kNow).bad == 3U);
  BOOST_TEST(quoting.measuringBytes == 21U);
  BOOST_TEST(status.LowestGeneration(kNow) == 5U);
}

BOOST_AUTO_TEST_CASE(old_buckets_leave_the_fine_levels_first)
{
  BurnSeries series;
  series.Add({ 5, 1 }, kNow - 2h);
  series.Add({ 7, 0 }, kNow);
  BOOST_TEST((series.Last(1h, kNow) == BurnCount{ 7, 0 }));
  BOOST_TEST((series.Last(6h, kNow) == BurnCount{ 12, 1 }));
  series.Add({ 1, 0 }, kNow + 24h);
  BOOST_TEST(series.levels[0].size() == 1U);
  BOOST_TEST((series.Last(72h, kNow + 24h) == BurnCount{ 13, 1 }));
}

BOOST_AUTO_TEST_CASE(alerts_need_a_long_and_a_short_window)
{
  ObjectiveSpec objective;
  objective.availability = 0.995;
  objective.latencyQuantile = 0.995;
  BurnSeries over;
  over.Add({ 700, 300 }, kNow - 40min);
  over.Add({ 1000, 0 }, kNow);
  BOOST_TEST((SummariseBurn(over, objective, kNow).alert == BurnAlert::Ticket));
  BurnSeries going = over;
  going.Add({ 0, 1000 }, kNow);
  BOOST_TEST((SummariseBurn(going, objective, kNow).alert == BurnAlert::Page));
  BurnSeries calm;
  calm.Add({ 100000, 1 }, kNow);
  const BurnSummary summary = SummariseBurn(calm, objective, kNow);
  BOOST_TEST((summary.alert == BurnAlert::None));
  BOOST_TEST(summary.budgetLeft > 0.99);
}

BOOST_AUTO_TEST_SUITE_END()

}
