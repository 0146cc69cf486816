#include "baobab/core/random.hpp"
#include "baobab/decision/evacuation.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

namespace baobab {
namespace {

constexpr TimePoint kNow{ 1h };

MemberRecord
Member(std::string aService, std::string aZone, std::uint16_t aSlots)
{
  MemberRecord record;
  record.service = std::move(aService);
  record.locality = { "perth", std::move(aZone) };
  record.targetState = TargetState::Ready;
  record.slots = aSlots;
  return record;
}

}

BOOST_AUTO_TEST_SUITE(evacuation)

BOOST_AUTO_TEST_CASE(messages_in_any_order_lead_to_the_newest_state)
{
  const std::vector<EvacuatedZones> states = { { 1, {} },
                                               { 5, { "north" } },
                                               { 9, { "south", "north" } },
                                               { 12, { "south" } },
                                               { 20, { "south" } } };
  SplitMix random(1);
  for (int round = 0; round < 200; ++round) {
    std::vector<EvacuatedZones> messages = states;
    messages.insert(messages.end(), states.begin(), states.end());
    std::ranges::shuffle(messages, std::mt19937_64(random()));
    Evacuations evacuations;
    for (const EvacuatedZones& message : messages) {
      evacuations.Merge(message, kNow);
    }
    BOOST_TEST((evacuations.Current() == states.back()));
    BOOST_TEST(evacuations.Contains("south"));
    BOOST_TEST(!evacuations.Contains("north"));
  }
}

/// A store that had come back from an older copy could neither evacuate a zone
/// nor take one back, because its revisions were lower than those seen before.
BOOST_AUTO_TEST_CASE(
  a_state_after_the_store_went_back_replaces_a_higher_revision)
{
  Evacuations evacuations;
  evacuations.Merge({ 205, { "north" }, 1 }, kNow);
  BOOST_TEST(evacuations.Merge({ 117, {}, 2 }, kNow));
  BOOST_TEST(!evacuations.Contains("north"));
  BOOST_TEST(!evacuations.Merge({ 210, { "north" }, 1 }, kNow));
  BOOST_TEST(evacuations.Merge({ 118, { "south" }, 2 }, kNow));
}

BOOST_AUTO_TEST_CASE(only_other_zones_are_a_change)
{
  Evacuations evacuations;
  BOOST_TEST(!evacuations.Known());
  BOOST_TEST(!evacuations.Merge({ 3, {} }, kNow));
  BOOST_TEST(evacuations.Known());
  BOOST_TEST(evacuations.Merge({ 4, { "b", "a", "b" } }, kNow));
  BOOST_TEST(!evacuations.Merge({ 7, { "a", "b" } }, kNow));
  BOOST_TEST(evacuations.Current().revision == 7);
  BOOST_TEST(!evacuations.Merge({ 6, {} }, kNow));
  BOOST_TEST(evacuations.Merge({ 8, {} }, kNow));
}

/// A daemon that restarts reads a state that may be old, at a revision that any
/// other replaces.
BOOST_AUTO_TEST_CASE(a_cached_state_yields_to_that_of_other_daemons)
{
  Evacuations evacuations;
  evacuations.Merge({ 1, { "north" } }, kNow);
  BOOST_TEST(evacuations.Contains("north"));
  BOOST_TEST(evacuations.Merge({ 40, {} }, kNow));
  BOOST_TEST(!evacuations.Contains("north"));
}

BOOST_AUTO_TEST_CASE(nothing_is_spread_without_an_evacuation)
{
  Evacuations evacuations;
  BOOST_TEST(!evacuations.ToSpread(kNow).has_value());
  evacuations.Merge({ 3, {} }, kNow);
  BOOST_TEST(!evacuations.ToSpread(kNow).has_value());
}

BOOST_AUTO_TEST_CASE(the_end_of_an_evacuation_is_spread_for_some_time)
{
  Evacuations evacuations;
  evacuations.Merge({ 3, { "north" } }, kNow);
  BOOST_TEST(evacuations.ToSpread(kNow + 1h).has_value());
  evacuations.Merge({ 4, {} }, kNow + 1h);
  BOOST_REQUIRE(evacuations.ToSpread(kNow + 1h + 10s).has_value());
  BOOST_TEST(evacuations.ToSpread(kNow + 1h + 10s)->zones.empty());
  BOOST_TEST(!evacuations.ToSpread(kNow + 1h + 61s).has_value());
}

/// A daemon that was cut off still names the zone; it has to be told.
BOOST_AUTO_TEST_CASE(a_daemon_that_names_an_ended_evacuation_is_told)
{
  Evacuations evacuations;
  evacuations.Merge({ 4, {} }, kNow);
  BOOST_TEST(!evacuations.Merge({ 3, { "north" } }, kNow + 1h));
  BOOST_REQUIRE(evacuations.ToSpread(kNow + 1h).has_value());
  BOOST_TEST(evacuations.ToSpread(kNow + 1h)->revision == 4);
}

BOOST_AUTO_TEST_CASE(the_service_with_the_least_capacity_left_is_named)
{
  std::vector<MemberRecord> members = {
    Member("a", "north", 10), Member("a", "south", 30),
    Member("b", "north", 10), Member("b", "south", 10),
    Member("b", "south", 10), Member("", "south", 10),
  };
  members[4].state = MemberState::Dead;
  const auto least = LeastCapacityLeft(members, { "north" });
  BOOST_TEST((least == ServiceCapacity{ "b", 20, 10 }));
  BOOST_TEST(!LeastCapacityLeft({}, { "north" }).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
