#include "baobab/decision/burn_rate.hpp"
#include "baobab/decision/zone_status.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

using namespace std::chrono_literals;

constexpr StatusTime kNow{ 3600000000LL };

BurnReport
MakeReport(std::uint64_t aReporter,
           std::uint64_t aSequence,
           std::uint64_t aGood)
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
  BOOST_TEST(status.Add(MakeReport(1, 1, 10), kNow));
  BOOST_TEST(!status.Add(MakeReport(1, 1, 10), kNow));
  BOOST_TEST(status.Add(MakeReport(1, 2, 10), kNow));
  BOOST_TEST(status.Add(MakeReport(2, 1, 10), kNow));
  const ServiceStatus& quoting = status.services.at("quoting");
  BOOST_TEST(quoting.calls[0] == 30U);
  BOOST_TEST(quoting.series.Last(5min, kNow).bad == 3U);
  BOOST_TEST(quoting.measuringBytes == 21U);
  BOOST_TEST(status.LowestGeneration(kNow) == 5U);
}

BOOST_AUTO_TEST_CASE(old_calls_are_kept_in_wider_buckets_only)
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

BOOST_AUTO_TEST_CASE(an_alert_needs_a_high_rate_over_a_long_and_a_short_span)
{
  ObjectiveSpec objective;
  objective.availability = 0.995;
  objective.latencyQuantile = 0.995;
  BurnSeries ended;
  ended.Add({ 700, 300 }, kNow - 40min);
  ended.Add({ 1000, 0 }, kNow);
  BOOST_TEST(
    (SummariseBurn(ended, objective, kNow).alert == BurnAlert::Ticket));
  BurnSeries ongoing = ended;
  ongoing.Add({ 0, 1000 }, kNow);
  BOOST_TEST(
    (SummariseBurn(ongoing, objective, kNow).alert == BurnAlert::Page));
  BurnSeries healthy;
  healthy.Add({ 100000, 1 }, kNow);
  const BurnSummary summary = SummariseBurn(healthy, objective, kNow);
  BOOST_TEST((summary.alert == BurnAlert::None));
  BOOST_TEST(summary.budgetLeft > 0.99);
}

BOOST_AUTO_TEST_SUITE_END()

}
