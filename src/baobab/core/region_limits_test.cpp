#include "baobab/core/region_limits.hpp"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace baobab {

BOOST_AUTO_TEST_SUITE(region_limits)

BOOST_AUTO_TEST_CASE(no_list_allows_every_region)
{
  BOOST_TEST(RegionLimits{}.Allows("north"));
  BOOST_TEST(!RegionLimits{}.Confined());
}

BOOST_AUTO_TEST_CASE(the_lists_of_route_and_workspace_both_apply)
{
  const std::vector<std::string> route{ "north", "south" };
  const std::vector<std::string> workspace{ "south", "east" };
  const RegionLimits limits{ route, workspace };
  BOOST_TEST(limits.Confined());
  BOOST_TEST(limits.Allows("south"));
  BOOST_TEST(!limits.Allows("north"));
  BOOST_TEST(!limits.Allows("east"));
}

BOOST_AUTO_TEST_CASE(lists_without_a_common_region_allow_none)
{
  const std::vector<std::string> route{ "north" };
  const std::vector<std::string> workspace{ "east" };
  const RegionLimits limits{ route, workspace };
  BOOST_TEST(!limits.Allows("north"));
  BOOST_TEST(!limits.Allows("east"));
}

BOOST_AUTO_TEST_SUITE_END()

}
