#include "baobab/report/burn_page.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr StatusTime kNow{ 3600000000LL };

BurnPage
SamplePage()
{
  ServiceSpec spec;
  spec.name = "quoting";
  ZoneStatus north;
  ZoneStatus south;
  north.Add({ 1, 1, 4, { { "quoting", { 100, 0, 0, 50, 0 }, 9 } } }, kNow);
  south.Add({ 2, 1, 3, { { "quoting", { 100, 0, 1, 0, 0 }, 9 } } }, kNow);
  south.services["quoting"].targets["ready"] = 2;
  return BuildBurnPage(
    { spec }, { { "perth/north", north }, { "perth/south", south } }, 4, kNow);
}

}

BOOST_AUTO_TEST_SUITE(burn_page)

BOOST_AUTO_TEST_CASE(zones_are_folded_and_the_remedy_names_the_worst_class)
{
  const BurnPage page = SamplePage();
  BOOST_REQUIRE(page.services.size() == 1U);
  const ServiceBurn& service = page.services[0];
  BOOST_TEST(service.status.calls[0] == 200U);
  BOOST_TEST((service.burn.alert == BurnAlert::Page));
  BOOST_TEST(RemedyFor(service).find("refused") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(every_form_shows_service_alert_and_zone)
{
  const BurnPage page = SamplePage();
  for (const std::string& text :
       { BurnTable(page), BurnJson(page), BurnHtml(page) }) {
    BOOST_TEST(text.find("quoting") != std::string::npos);
    BOOST_TEST(text.find("page") != std::string::npos);
    BOOST_TEST(text.find("perth/south") != std::string::npos);
  }
  BOOST_TEST(BurnTable(page).find("behind") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}
