#include "baobab/report/slo_report.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr StatusTime kNow{ 3600000000LL };

SloReport
SampleReport()
{
  ServiceSpec spec;
  spec.name = "quoting";
  ZoneStatus north;
  ZoneStatus south;
  north.Add({ 1, 1, 4, { { "quoting", { 100, 0, 0, 50, 0 }, 9 } } }, kNow);
  south.Add({ 2, 1, 3, { { "quoting", { 100, 0, 1, 0, 0 }, 9 } } }, kNow);
  south.services["quoting"].targets["ready"] = 2;
  return BuildSloReport(
    { spec }, { { "perth/north", north }, { "perth/south", south } }, 4, kNow);
}

}

BOOST_AUTO_TEST_SUITE(slo_report)

BOOST_AUTO_TEST_CASE(report_sums_the_zones_and_names_a_remedy)
{
  const SloReport report = SampleReport();
  BOOST_REQUIRE(report.services.size() == 1U);
  const SloServiceRow& service = report.services[0];
  BOOST_TEST(service.status.calls[0] == 200U);
  BOOST_TEST((service.burn.alert == BurnAlert::Page));
  BOOST_TEST(RemedyFor(service).find("refused") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(every_format_shows_service_alert_and_zone)
{
  const SloReport report = SampleReport();
  for (const std::string& text : { SloReportTable(report),
                                   SloReportJson(report),
                                   SloReportHtml(report) }) {
    BOOST_TEST(text.find("quoting") != std::string::npos);
    BOOST_TEST(text.find("page") != std::string::npos);
    BOOST_TEST(text.find("perth/south") != std::string::npos);
  }
  BOOST_TEST(SloReportTable(report).find("behind") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}
