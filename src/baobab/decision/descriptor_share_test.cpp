#include "baobab/decision/descriptor_share.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr std::int64_t kSet = 10000;
constexpr std::int64_t kTarget = 250;

BOOST_AUTO_TEST_SUITE(descriptor_share_test)

BOOST_AUTO_TEST_CASE(a_large_limit_changes_nothing)
{
  BOOST_TEST(CallerShare(kSet, kTarget, 65536) == kSet);
  BOOST_TEST(CallerShare(kSet, kTarget, std::nullopt) == kSet);
}

BOOST_AUTO_TEST_CASE(callers_leave_the_reserve)
{
  BOOST_TEST(CallerShare(kSet, kTarget, 4100) == 3010);
  BOOST_TEST(CallerShare(kSet, 1000, 4100) == 2260);
  BOOST_TEST(CallerShare(40, kTarget, 4100) == 40);
}

BOOST_AUTO_TEST_CASE(callers_get_half_of_a_small_limit)
{
  BOOST_TEST(CallerShare(kSet, kTarget, 1024) == 512);
  BOOST_TEST(CallerShare(kSet, 10000, 4100) == 2050);
  BOOST_TEST(CallerShare(kSet, kTarget, 200) == 100);
  BOOST_TEST(CallerShare(kSet, kTarget, 0) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}
}
