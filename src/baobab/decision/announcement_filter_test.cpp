#include "baobab/decision/announcement_filter.hpp"

#include <boost/test/unit_test.hpp>

BOOST_TEST_DONT_PRINT_LOG_VALUE(baobab::AnnouncementVerdict)

namespace baobab {
namespace {

constexpr Duration kMaxDelay = 10s;
constexpr TimePoint kStart{ 1000s };
/// A time at which all announcements from before the start have arrived.
constexpr TimePoint kLater = kStart + kMaxDelay;

using enum AnnouncementVerdict;

/// Makes the announcement that a ready target instance sends.
TargetAnnouncement
Says(std::string aInstance,
     std::optional<std::int64_t> aStartedAtMs,
     std::int64_t aSequence)
{
  TargetAnnouncement announcement;
  announcement.announcement.state = TargetState::Ready;
  announcement.instance = std::move(aInstance);
  announcement.startedAtMs = aStartedAtMs;
  announcement.sequence = aSequence;
  return announcement;
}

TargetAnnouncement
SaysLeaving(std::string aInstance,
            std::int64_t aStartedAtMs,
            std::int64_t aSequence)
{
  TargetAnnouncement announcement =
    Says(std::move(aInstance), aStartedAtMs, aSequence);
  announcement.announcement.state = TargetState::Leaving;
  return announcement;
}

/// A filter that has seen all announcements that were sent before its start.
struct SettledFilter : AnnouncementFilter
{
  SettledFilter()
    : AnnouncementFilter(kMaxDelay, kStart)
  {
  }

  AnnouncementVerdict Hear(const TargetAnnouncement& aAnnouncement,
                           Duration aAfter = Duration::zero())
  {
    return this->Accept(aAnnouncement, std::nullopt, kLater + aAfter);
  }
};

TargetProof
Proof(std::string aInstance, bool aHealthy, TimePoint aAskedAt)
{
  return { std::move(aInstance), aHealthy, aAskedAt };
}

}

BOOST_AUTO_TEST_SUITE(announcement_filter)

BOOST_AUTO_TEST_CASE(rejects_an_announcement_that_arrives_after_a_later_one)
{
  SettledFilter targets;
  BOOST_TEST(targets.Hear(Says("a", 100, 3)) == Accepted);
  BOOST_TEST(targets.Hear(Says("a", 100, 3)) == Outdated);
  BOOST_TEST(targets.Hear(Says("a", 100, 2)) == Outdated);
  BOOST_TEST(targets.Hear(Says("a", 100, 4)) == Accepted);
}

BOOST_AUTO_TEST_CASE(rejects_an_earlier_start_at_the_same_address)
{
  SettledFilter targets;
  BOOST_TEST(targets.Hear(Says("old", 100, 9)) == Accepted);
  BOOST_TEST(targets.Hear(Says("new", 200, 1)) == Accepted);
  BOOST_TEST(targets.Hear(Says("old", 100, 10)) == Unproven);
  for (const std::string instance : { "new", "" }) {
    BOOST_TEST(targets.Accept(Says("old", 100, 10),
                              Proof(instance, true, kLater),
                              kLater) == Outdated);
  }
  BOOST_TEST(targets.Current().instance == "new");
}

BOOST_AUTO_TEST_CASE(accepts_a_new_instance_whose_clock_was_set_back)
{
  SettledFilter targets;
  BOOST_TEST(targets.Hear(Says("old", 200, 9)) == Accepted);
  BOOST_TEST(targets.Hear(Says("new", 100, 1)) == Unproven);
  BOOST_TEST(targets.Accept(Says("new", 100, 1),
                            Proof("new", true, kLater),
                            kLater) == Accepted);
}

BOOST_AUTO_TEST_CASE(accepts_a_restart_of_the_same_instance)
{
  SettledFilter targets;
  BOOST_TEST(targets.Hear(Says("a", 100, 9)) == Accepted);
  BOOST_TEST(targets.Hear(Says("a", 200, 1)) == Accepted);
  BOOST_TEST(targets.Hear(Says("a", 100, 10)) == Outdated);
}

BOOST_AUTO_TEST_CASE(
  a_departed_instance_is_accepted_again_only_after_a_new_start)
{
  SettledFilter targets;
  BOOST_TEST(targets.Hear(Says("a", 100, 1)) == Accepted);
  BOOST_TEST(!targets.RecordDeparture("b", std::nullopt, kLater));
  BOOST_TEST(targets.RecordDeparture("a", std::nullopt, kLater));
  BOOST_TEST(targets.Hear(Says("a", 100, 2)) == Outdated);
  BOOST_TEST(targets.Hear(Says("a", 100, 3), 2 * kMaxDelay) == Outdated);
  // The departure may have been that of the later start.
  BOOST_TEST(targets.Hear(Says("a", 150, 1), 1s) == Unproven);
  BOOST_TEST(targets.Accept(Says("a", 150, 1),
                            Proof("a", true, kLater + 1s),
                            kLater + 1s) == Accepted);
}

BOOST_AUTO_TEST_CASE(new_start_needs_no_proof_once_delayed_ones_have_arrived)
{
  SettledFilter targets;
  BOOST_TEST(targets.Hear(Says("a", 100, 1)) == Accepted);
  targets.RecordDeparture("a", std::nullopt, kLater);
  BOOST_TEST(targets.Hear(Says("a", 150, 1), kMaxDelay) == Accepted);
}

BOOST_AUTO_TEST_CASE(accepts_all_announcements_without_an_instance)
{
  AnnouncementFilter targets(kMaxDelay, kStart);
  BOOST_TEST(targets.Accept({}, std::nullopt, kStart) == Accepted);
  BOOST_TEST(targets.Accept({}, std::nullopt, kStart) == Accepted);
}

// After a restart of the daemon, a delayed announcement brought back a target
// whose departure only the earlier process knew.
BOOST_AUTO_TEST_CASE(announcement_from_before_the_start_needs_a_proof)
{
  AnnouncementFilter targets(kMaxDelay, kStart);
  const TargetAnnouncement late = Says("a", 100, 7);
  BOOST_TEST(targets.Accept(late, std::nullopt, kStart + 1s) == Unproven);
  BOOST_TEST(targets.Accept(
               late, Proof("a", false, kStart + 1s), kStart + 1s) == Unproven);
  BOOST_TEST(targets.Accept(late, Proof("b", true, kStart + 1s), kStart + 1s) ==
             Outdated);
  BOOST_TEST(targets.Accept(late, Proof("a", true, kStart + 1s), kStart + 1s) ==
             Accepted);
}

// A target that was found by its health path has an unknown start, which was
// taken for a start at 0: a delayed announcement seemed to be of a later one.
BOOST_AUTO_TEST_CASE(departure_of_a_discovered_target_covers_its_announcements)
{
  AnnouncementFilter targets(kMaxDelay, kStart);
  TargetAnnouncement found = Says("a", std::nullopt, 0);
  found.sequence.reset();
  BOOST_TEST(targets.Accept(found, Proof("a", true, kStart), kStart) ==
             Accepted);
  BOOST_TEST(targets.RecordDeparture("a", std::nullopt, kStart + 1s));
  BOOST_TEST(targets.Accept(Says("a", 100, 7), std::nullopt, kStart + 4s) ==
             Unproven);
  BOOST_TEST(targets.Accept(Says("a", 100, 7),
                            Proof("a", false, kStart + 4s),
                            kStart + 4s) == Unproven);
  BOOST_TEST(targets.Accept(found, Proof("a", true, kStart), kStart + 4s) ==
             Outdated);
}

BOOST_AUTO_TEST_CASE(departure_is_recorded_before_the_instance_is_known)
{
  AnnouncementFilter targets(kMaxDelay, kStart);
  BOOST_TEST(!targets.RecordDeparture("a", std::nullopt, kStart + 1s));
  BOOST_TEST(targets.Accept(Says("a", 100, 7),
                            Proof("a", true, kStart + 500ms),
                            kStart + 2s) == Unproven);
}

BOOST_AUTO_TEST_CASE(
  a_failing_target_is_accepted_once_delayed_ones_have_arrived)
{
  AnnouncementFilter targets(kMaxDelay, kStart);
  BOOST_TEST(targets.Accept(Says("a", 100, 7),
                            Proof("a", false, kStart + 1s),
                            kStart + 1s) == Unproven);
  BOOST_TEST(targets.Accept(Says("a", 100, 17), std::nullopt, kLater) ==
             Accepted);
}

BOOST_AUTO_TEST_CASE(leaving_is_accepted_without_a_proof)
{
  AnnouncementFilter targets(kMaxDelay, kStart);
  BOOST_TEST(targets.Accept(SaysLeaving("a", 100, 7), std::nullopt, kStart) ==
             Accepted);
  BOOST_TEST(targets.Accept(Says("a", 100, 6), std::nullopt, kStart) ==
             Outdated);
}

BOOST_AUTO_TEST_CASE(number_of_departures_is_bounded)
{
  SettledFilter targets;
  targets.RecordDeparture("first", 100, kLater);
  for (int i = 0; i < 1000; ++i) {
    targets.RecordDeparture(std::to_string(i), std::nullopt, kLater + 1s);
  }
  targets.RecordDeparture("last", 100, kLater + 1s);
  BOOST_TEST(targets.Hear(Says("last", 100, 1), 1s) == Outdated);
  BOOST_TEST(targets.Hear(Says("first", 100, 1), 1s) == Accepted);
}

BOOST_AUTO_TEST_SUITE_END()

}
