#include "baobab/decision/announcement_filter.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

TargetAnnouncement
Says(std::string aInstance, std::int64_t aBorn, std::int64_t aSequence)
{
  TargetAnnouncement announcement;
  announcement.instance = std::move(aInstance);
  announcement.startedAtMs = aBorn;
  announcement.sequence = aSequence;
  return announcement;
}

}

BOOST_AUTO_TEST_SUITE(target_register)

BOOST_AUTO_TEST_CASE(an_overtaken_announcement_is_no_news)
{
  AnnouncementFilter targets;
  BOOST_TEST(targets.Accept(Says("a", 100, 3)));
  BOOST_TEST(!targets.Accept(Says("a", 100, 3)));
  BOOST_TEST(!targets.Accept(Says("a", 100, 2)));
  BOOST_TEST(targets.Accept(Says("a", 100, 4)));
}

BOOST_AUTO_TEST_CASE(an_earlier_start_at_the_address_is_no_news)
{
  AnnouncementFilter targets;
  BOOST_TEST(targets.Accept(Says("old", 100, 9)));
  BOOST_TEST(targets.Accept(Says("new", 200, 1)));
  BOOST_TEST(!targets.Accept(Says("old", 100, 10)));
  BOOST_TEST(targets.Current().instance == "new");
}

BOOST_AUTO_TEST_CASE(a_restart_under_the_same_identity_counts_anew)
{
  AnnouncementFilter targets;
  BOOST_TEST(targets.Accept(Says("a", 100, 9)));
  BOOST_TEST(targets.Accept(Says("a", 200, 1)));
  BOOST_TEST(!targets.Accept(Says("a", 100, 10)));
}

BOOST_AUTO_TEST_CASE(what_is_gone_comes_back_only_by_a_new_start)
{
  AnnouncementFilter targets;
  BOOST_TEST(targets.Accept(Says("a", 100, 1)));
  BOOST_TEST(!targets.RecordDeparture("b"));
  BOOST_TEST(targets.RecordDeparture("a"));
  BOOST_TEST(!targets.Accept(Says("a", 100, 2)));
  BOOST_TEST(targets.Accept(Says("a", 150, 1)));
}

BOOST_AUTO_TEST_CASE(a_target_without_identity_announces_in_order)
{
  AnnouncementFilter targets;
  BOOST_TEST(targets.Accept({}));
  BOOST_TEST(targets.Accept({}));
}

BOOST_AUTO_TEST_SUITE_END()

}
