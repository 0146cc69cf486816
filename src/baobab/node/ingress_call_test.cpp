#include "baobab/node/ingress_call.hpp"

#include "baobab/decision/quarantine.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

Configuration
OneService()
{
  const std::string text = "name = 'quoting'\nrevision = 1\n"
                           "hosts = ['q.example']\n";
  return Value(Configuration().Apply(
    { 0, 1, { { "quoting", 1, ContentHash(text), 1 } }, { text } }));
}

}

BOOST_AUTO_TEST_SUITE(ingress_call)

/// Guards against a request that is known to crash targets and is sent all the
/// same, because the daemon beside the target has just started and knows
/// nothing.
BOOST_AUTO_TEST_CASE(
  the_ingress_refuses_a_request_that_it_knows_to_crash_targets)
{
  const RcuThreadRegistration reader;
  Request request{ "", "POST", "/order", { { "Host", "q.example" } }, "body" };
  Settings settings;
  SplitMix random(1);
  const auto quarantined = [&](std::vector<Suspect> aSuspects) {
    RouteTableBuilder builder(Locality{});
    builder.SetConfiguration(
      std::make_shared<const Configuration>(OneService()));
    RcuCell<RouteTable> routes;
    routes.Replace(builder.Build(std::move(aSuspects)));
    auto route = routes.Read([&](const RouteTable& aTable) {
      return aTable.FindRoute("q.example", "/order");
    });
    BOOST_REQUIRE(route);
    return IsQuarantined(PrepareCall(
      std::move(route), {}, Request(request), routes, settings, random));
  };
  const Fingerprint fingerprint = FingerprintOf(request);
  BOOST_TEST(!quarantined({}));
  BOOST_TEST(!quarantined({ { fingerprint + 1, 3 }, { fingerprint, 1.9 } }));
  BOOST_TEST(quarantined({ { fingerprint + 1, 1 }, { fingerprint, 2 } }));
}

BOOST_AUTO_TEST_SUITE_END()

}
