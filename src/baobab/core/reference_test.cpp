#include "baobab/core/service.hpp"
#include "baobab/core/settings.hpp"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

namespace baobab {
namespace {

std::string
Page(const std::string& aName)
{
  std::ifstream file(std::string(BAOBAB_SOURCE_DIR) + "/docs/" + aName);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}

BOOST_AUTO_TEST_SUITE(reference_pages)

BOOST_AUTO_TEST_CASE(service_file_page_is_in_step_with_the_code)
{
  BOOST_TEST(Page("SERVICE_FILE.md").find(ReferenceTable(ServiceSchema())) !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(routes_are_in_step_with_the_code)
{
  BOOST_TEST(Page("SERVICE_FILE.md").find(ReferenceTable(RouteSchema())) !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(settings_page_is_in_step_with_the_code)
{
  BOOST_TEST(Page("SETTINGS.md").find(ReferenceTable(SettingsSchema())) !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}
