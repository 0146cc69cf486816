#include "baobab/core/service.hpp"
#include "baobab/core/settings.hpp"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

namespace baobab {
namespace {

std::string
ReadPage(const std::string& aName)
{
  std::ifstream file(std::string(BAOBAB_SOURCE_DIR) + "/docs/" + aName);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}

/// The pages contain generated tables. A test fails if a schema was changed
/// without regenerating its page.
BOOST_AUTO_TEST_SUITE(reference_pages)

BOOST_AUTO_TEST_CASE(service_file_page_matches_the_schema)
{
  BOOST_TEST(
    ReadPage("SERVICE_FILE.md").find(ReferenceTable(ServiceSchema())) !=
    std::string::npos);
}

BOOST_AUTO_TEST_CASE(service_file_page_matches_the_route_schema)
{
  BOOST_TEST(ReadPage("SERVICE_FILE.md").find(ReferenceTable(RouteSchema())) !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(service_file_page_matches_the_workspace_schema)
{
  BOOST_TEST(
    ReadPage("SERVICE_FILE.md").find(ReferenceTable(WorkspaceSchema())) !=
    std::string::npos);
}

BOOST_AUTO_TEST_CASE(settings_page_matches_the_schema)
{
  BOOST_TEST(ReadPage("SETTINGS.md").find(ReferenceTable(SettingsSchema())) !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}
