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
  const auto first = ChooseIsolated(*table->serviceRoutes[0], 77, {}).target;
  BOOST_TEST(ChooseIsolated(*table->serviceRoutes[0], 77, {}).target == first);
}

/// A zone with one target, a second one in the region and a third one in
/// another region.
struct ThreeTiers
{
  ThreeTiers()
  {
    builder.Update(Member(1));
    builder.Update(Member(2, { "perth", "south" }));
    builder.Update(Member(3, { "south-west", "albany" }));
    table = BuildWith(builder, ConfigurationOf(kServiceFile));
    Route().state->crossRegionCallBudget.SetRate(1 << 20);
  }

  const ServiceRoute& Route() const { return *this->table->serviceRoutes[0]; }

  /// Chooses for a call with an objective of 200 ms.
  ChosenTarget Choose(const std::vector<Endpoint>& aTried = {},
                      double aMargin = 1.5)
  {
    ChoiceTerms terms{ 100ms, 600 };
    terms.placement.objectiveMargin = aMargin;
    terms.timeToObjective = 200ms;
    terms.timeToDeadline = 1s;
    return ChooseTarget(Route(), aTried, terms, random, kNow);
  }

  RouteTableBuilder builder{ kHere };
  decltype(BuildWith(builder, ConfigurationOf(kServiceFile))) table;
  SplitMix random{ 1 };
};

BOOST_FIXTURE_TEST_CASE(a_call_leaves_its_zone_to_meet_its_objective,
                        ThreeTiers)
{
  const ChosenTarget near = Choose();
  BOOST_TEST((near.tier == Tier::SameZone));
  BOOST_TEST(!near.leaves);
  BOOST_TEST((near.alternative >= Duration(130ms)));
  Fill(*Route().tiers[0][0]);
  const ChosenTarget far = Choose();
  BOOST_TEST((far.tier == Tier::SameRegion));
  BOOST_TEST(far.leaves);
}

BOOST_FIXTURE_TEST_CASE(below_one_the_margin_is_off, ThreeTiers)
{
  // Fast enough here, and faster in the other zone.
  Route().tiers[0][0]->load.ApplyReport({ 10, 1, 10 }, kNow);
  BOOST_TEST((Choose({}, 1.2).tier == Tier::SameZone));
  BOOST_TEST((Choose({}, 0.5).tier == Tier::SameRegion));
}

BOOST_FIXTURE_TEST_CASE(a_full_window_keeps_calls_in_their_zone, ThreeTiers)
{
  Fill(*Route().tiers[0][0]);
  for (const Tier tier : { Tier::SameRegion, Tier::OtherRegion }) {
    while (Route().state->Outflow(tier).HasRoom(kNow)) {
      Route().state->Outflow(tier).Begin();
    }
  }
  BOOST_TEST((Choose().tier == Tier::SameZone));
}

/// Guards against calls that are refused although their zone has a target.
BOOST_FIXTURE_TEST_CASE(a_tier_that_cannot_be_used_leaves_the_nearer_ones,
                        ThreeTiers)
{
  Fill(*Route().tiers[0][0]);
  Fill(*Route().tiers[1][0]);
  BOOST_TEST((Choose().tier == Tier::OtherRegion));
  Route().state->crossRegionCallBudget.SetRate(0);
  const ChosenTarget chosen = Choose();
  BOOST_REQUIRE(chosen.target != nullptr);
  BOOST_TEST((chosen.tier == Tier::SameZone));
}

BOOST_FIXTURE_TEST_CASE(a_repeat_elsewhere_counts_as_leaving, ThreeTiers)
{
  const ChosenTarget repeat = Choose({ { 1, 7100 } });
  BOOST_TEST((repeat.tier == Tier::SameRegion));
  BOOST_TEST(repeat.leaves);
}

/// Guards against unpaid bytes of calls that have a home in their own region.
BOOST_FIXTURE_TEST_CASE(the_budget_binds_calls_with_a_target_at_home,
                        ThreeTiers)
{
  Fill(*Route().tiers[0][0]);
  Fill(*Route().tiers[1][0]);
  Route().state->crossRegionCallBudget.SetRate(0);
  const std::vector<std::string> homes{ "perth", "south-west" };
  const auto chosen =
    ChooseTarget(Route(), {}, { 100ms, 600, {}, { homes, {} } }, random, kNow);
  BOOST_TEST((chosen.tier != Tier::OtherRegion));
}

/// Guards against work that leaves the regions to which it is confined: also
/// for repeats, with open breakers, without budget and for suspects.
BOOST_AUTO_TEST_CASE(a_confined_call_is_served_only_in_its_regions)
{
  RouteTableBuilder builder(kHere);
  builder.Update(Member(1));
  builder.Update(Member(2, { "perth", "south" }));
  builder.Update(Member(3, { "south-west", "albany" }));
  const auto table = BuildWith(builder, ConfigurationOf(kServiceFile));
  const ServiceRoute& route = *table->serviceRoutes[0];
  route.state->crossRegionCallBudget.SetRate(0);
  const std::vector<std::string> homes{ "south-west" };
  SplitMix random(1);
  const Endpoint home{ 3, 7100 };
  const auto choose = [&](const std::vector<Endpoint>& aTried) {
    return ChooseTarget(
             route, aTried, { 100ms, 600, {}, { homes, {} } }, random, kNow)
      .target;
  };
  BOOST_REQUIRE(choose({}) != nullptr);
  BOOST_TEST((choose({})->endpoint == home));
  BOOST_TEST(choose({ home }) == nullptr);
  route.tiers[2][0]->breaker.OpenFor(kNow, 1s);
  BOOST_TEST((choose({})->endpoint == home));
  for (std::uint64_t fingerprint = 1; fingerprint <= 20; ++fingerprint) {
    const auto isolated = ChooseIsolated(route, fingerprint, { homes, {} });
    BOOST_REQUIRE(isolated.target != nullptr);
    BOOST_TEST((isolated.target->endpoint == home));
  }
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
      ChooseIsolated(*table->FindService("quoting"), fingerprint, {});
    BOOST_TEST((isolated.target == chosen.target));
  }
  builder.SetEvacuatedZones({ "north", "south" });
  BOOST_TEST(BuildWith(builder, configuration)->TargetCount() == 0U);
  builder.SetEvacuatedZones({});
  BOOST_TEST(BuildWith(builder, configuration)->TargetCount() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}
