#include "baobab/node/route_table.hpp"
#include "baobab/node/target_chooser.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr TimePoint kNow{ 1h };
const Locality kHere{ "perth", "north" };

MemberRecord
Member(std::uint32_t aHost, Locality aLocality = kHere)
{
  MemberRecord record;
  record.endpoint = { aHost, 7100 };
  record.incarnation = 1;
  record.locality = std::move(aLocality);
  record.service = "quoting";
  record.targetState = TargetState::Ready;
  record.slots = 10;
  return record;
}

Configuration
ConfigurationOf(const std::string& aText)
{
  return Value(Configuration().Apply(
    { 0, 1, { { "quoting", 1, ContentHash(aText), 1 } }, { aText } }));
}

const std::string kServiceFile =
  "name = 'quoting'\nrevision = 1\nhosts = ['q.example']\n"
  "path_prefix = '/quote'\n";

std::unique_ptr<RouteTable>
BuildWith(RouteTableBuilder& aBuilder, const Configuration& aConfiguration)
{
  aBuilder.SetConfiguration(
    std::make_shared<const Configuration>(aConfiguration));
  return aBuilder.Build({});
}

/// Makes the target report a full load.
void
Fill(TargetEntry& aTarget)
{
  aTarget.load.ApplyReport({ 10, 5, 10 }, kNow);
}

}

BOOST_AUTO_TEST_SUITE(routes)

BOOST_AUTO_TEST_CASE(finds_services_by_host_and_path)
{
  RouteTableBuilder builder(kHere);
  builder.Update(Member(1));
  const auto table = BuildWith(builder, ConfigurationOf(kServiceFile));
  BOOST_TEST(table->FindRoute("Q.example", "/quote/1") != nullptr);
  BOOST_TEST(table->FindRoute("q.example", "/other") == nullptr);
  BOOST_TEST(table->FindRoute("other", "/quote") == nullptr);
  BOOST_TEST(table->FindService("quoting") != nullptr);
}

/// Guards against the loss of load estimates and circuit breakers with each new
/// table.
BOOST_AUTO_TEST_CASE(unchanged_routes_are_shared_and_targets_keep_their_state)
{
  RouteTableBuilder builder(kHere);
  builder.Update(Member(1));
  const Configuration configuration = ConfigurationOf(kServiceFile);
  const auto first = BuildWith(builder, configuration);
  builder.Update(Member(1));
  const auto second = BuildWith(builder, configuration);
  BOOST_TEST(first->serviceRoutes[0] == second->serviceRoutes[0]);
  builder.Update(Member(2));
  const auto third = BuildWith(builder, configuration);
  BOOST_TEST(third->serviceRoutes[0] != second->serviceRoutes[0]);
  BOOST_TEST(third->serviceRoutes[0]->tiers[0][0] ==
             first->serviceRoutes[0]->tiers[0][0]);
}

BOOST_AUTO_TEST_CASE(leaving_dead_and_silent_targets_are_excluded)
{
  RouteTableBuilder builder(kHere);
  MemberRecord leaving = Member(1);
  builder.Update(leaving);
  builder.Update(Member(2));
  builder.Update(Member(3, { "south-west", "albany" }));
  const Configuration configuration = ConfigurationOf(kServiceFile);
  BOOST_TEST(BuildWith(builder, configuration)->TargetCount() == 3U);
  leaving.targetState = TargetState::Leaving;
  builder.Update(leaving);
  BOOST_TEST(BuildWith(builder, configuration)->TargetCount() == 2U);
  MemberRecord dead = Member(2);
  dead.state = MemberState::Dead;
  builder.Update(dead);
  builder.SetSilentRegions({ "south-west" });
  BOOST_TEST(BuildWith(builder, configuration)->TargetCount() == 0U);
  builder.SetSilentRegions({});
  BOOST_TEST(BuildWith(builder, configuration)->TargetCount() == 1U);
}

BOOST_AUTO_TEST_CASE(
  calls_leave_the_region_only_if_it_is_full_and_the_budget_allows)
{
  RouteTableBuilder builder(kHere);
  builder.Update(Member(1));
  builder.Update(Member(2, { "perth", "south" }));
  builder.Update(Member(3, { "south-west", "albany" }));
  const auto table = BuildWith(builder, ConfigurationOf(kServiceFile));
  const ServiceRoute& route = *table->serviceRoutes[0];
  route.state->crossRegionCallBudget.SetRate(1 << 20);
  SplitMix random(1);
  const auto tier = [&] {
    return ChooseTarget(route, {}, { 100ms, 600 }, random, kNow).tier;
  };
  BOOST_TEST((tier() == Tier::SameZone));
  Fill(*route.tiers[0][0]);
  BOOST_TEST((tier() == Tier::SameRegion));
  Fill(*route.tiers[1][0]);
  BOOST_TEST((tier() == Tier::OtherRegion));
  route.state->crossRegionCallBudget.SetRate(0);
  BOOST_TEST((tier() != Tier::OtherRegion));
}

BOOST_AUTO_TEST_CASE(a_target_is_tried_even_if_all_circuit_breakers_are_open)
{
  RouteTableBuilder builder(kHere);
  builder.Update(Member(1));
  const auto table = BuildWith(builder, ConfigurationOf(kServiceFile));
  const ServiceRoute& route = *table->serviceRoutes[0];
  route.tiers[0][0]->breaker.OpenFor(kNow, 1s);
  SplitMix random(1);
  BOOST_TEST(ChooseTarget(route, {}, {}, random, kNow).target != nullptr);
  const std::vector<Endpoint> tried{ { 1, 7100 } };
  BOOST_TEST(ChooseTarget(route, tried, {}, random, kNow).target == nullptr);
}

/// Guards against a request that crashes one target after the other.
BOOST_AUTO_TEST_CASE(a_suspect_always_runs_on_the_same_target)
{
  RouteTableBuilder builder(kHere);
  for (std::uint32_t host = 1; host <= 9; ++host) {
    builder.Update(Member(host));
  }
  const auto table = BuildWith(builder, ConfigurationOf(kServiceFile));
  const auto first = ChooseIsolated(*table->serviceRoutes[0], 77).target;
  BOOST_TEST(ChooseIsolated(*table->serviceRoutes[0], 77).target == first);
}

BOOST_AUTO_TEST_CASE(targets_of_evacuated_zones_are_left_out)
{
  RouteTableBuilder builder(kHere);
  builder.Update(Member(1));
  builder.Update(Member(2, { "perth", "south" }));
  const Configuration configuration = ConfigurationOf(kServiceFile);
  builder.SetEvacuatedZones({ "north" });
  auto table = BuildWith(builder, configuration);
  BOOST_TEST(table->TargetCount() == 1U);
  SplitMix random(1);
  const auto chosen = ChooseTarget(
    *table->FindService("quoting"), {}, ChoiceTerms{}, random, kNow);
  BOOST_REQUIRE(chosen.target != nullptr);
  BOOST_TEST((chosen.target->locality.zone == "south"));
  // A second attempt goes nowhere else, and neither does one that isolates.
  BOOST_TEST((ChooseTarget(*table->FindService("quoting"),
                           { chosen.target->endpoint },
                           ChoiceTerms{},
                           random,
                           kNow)
                .target == nullptr));
  for (std::uint64_t fingerprint = 0; fingerprint < 20; ++fingerprint) {
    const auto isolated =
      ChooseIsolated(*table->FindService("quoting"), fingerprint);
    BOOST_TEST((isolated.target == chosen.target));
  }
  builder.SetEvacuatedZones({ "north", "south" });
  BOOST_TEST(BuildWith(builder, configuration)->TargetCount() == 0U);
  builder.SetEvacuatedZones({});
  BOOST_TEST(BuildWith(builder, configuration)->TargetCount() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}
