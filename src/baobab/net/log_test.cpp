#include "baobab/net/log.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <sstream>

namespace baobab {

BOOST_AUTO_TEST_SUITE(log)

/// Found by reading: settings that were read again added a second sink, so
/// that every line was written twice from then on.
BOOST_AUTO_TEST_CASE(a_changed_level_writes_each_line_once)
{
  std::ostringstream written;
  std::streambuf* const before = std::clog.rdbuf(written.rdbuf());
  InitLog("json", "warning");
  Log("test", LogLevel::Info, "left out");
  SetLogLevel("info");
  Log("test", LogLevel::Info, "written");
  std::clog.rdbuf(before);
  const std::string text = written.str();
  BOOST_TEST(std::ranges::count(text, '\n') == 1);
  BOOST_TEST(text.find("\"message\":\"written\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}
