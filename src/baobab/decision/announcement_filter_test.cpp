#include "baobab/decision/announcement_filter.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

/// Makes the announcement that a target instance sends.
TargetAnnouncement
Says(std::string aInstance, std::int64_t aStartedAtMs, std::int64_t aSequence)
{
  TargetAnnouncement announcement;
  announcement.instance = std::move(aInstance);
  announcement.startedAtMs = aStartedAtMs;
  announcement.sequence = aSequence;
  return announcement;
}

}

BOOST_AUTO_TEST_SUITE(announcement_filter)

BOOST_AUTO_TEST_CASE(rejects_an_announcement_that_arrives_after_a_later_one)
{
  AnnouncementFilter targets;
  BOOST_TEST(targets.Accept(Says("a", 100, 3)));
  BOOST_TEST(!targets.Accept(Says("a", 100, 3)));
  BOOST_TEST(!targets.Accept(Says("a", 100, 2)));
  BOOST_TEST(targets.Accept(Says("a", 100, 4)));
}

BOOST_AUTO_TEST_CASE(rejects_an_earlier_start_at_the_same_address)
{
  AnnouncementFilter targets;
  BOOST_TEST(targets.Accept(Says("old", 100, 9)));
  BOOST_TEST(targets.Accept(Says("new", 200, 1)));
  BOOST_TEST(!targets.Accept(Says("old", 100, 10)));
  BOOST_TEST(targets.Current().instance == "new");
}

BOOST_AUTO_TEST_CASE(accepts_a_restart_of_the_same_instance)
{
  AnnouncementFilter targets;
  BOOST_TEST(targets.Accept(Says("a", 100, 9)));
  BOOST_TEST(targets.Accept(Says("a", 200, 1)));
  BOOST_TEST(!targets.Accept(Says("a", 100, 10)));
}

BOOST_AUTO_TEST_CASE(
  a_departed_instance_is_accepted_again_only_after_a_new_start)
{
  AnnouncementFilter targets;
  BOOST_TEST(targets.Accept(Says("a", 100, 1)));
  BOOST_TEST(!targets.RecordDeparture("b"));
  BOOST_TEST(targets.RecordDeparture("a"));
  BOOST_TEST(!targets.Accept(Says("a", 100, 2)));
  BOOST_TEST(targets.Accept(Says("a", 150, 1)));
}

BOOST_AUTO_TEST_CASE(accepts_all_announcements_without_an_instance)
{
  AnnouncementFilter targets;
  BOOST_TEST(targets.Accept({}));
  BOOST_TEST(targets.Accept({}));
}

BOOST_AUTO_TEST_SUITE_END()

}
