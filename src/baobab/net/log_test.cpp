#include "baobab/net/log.hpp"

#include "baobab/net/log_events.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <poll.h>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace baobab {
namespace {

/// A pipe that receives the log of the process and is read on demand. The log
/// is started only once.
class LogPipe
{
public:
  LogPipe()
  {
    BOOST_REQUIRE(pipe(this->ends) == 0);
    InitLog({ LogFormat::Json, "info", this->ends[1] });
  }

  /// Reads lines up to the first one that contains a text.
  std::vector<std::string> ReadUntil(std::string_view aText)
  {
    std::vector<std::string> lines;
    while (lines.empty() || lines.back().find(aText) == std::string::npos) {
      lines.push_back(this->ReadLine());
    }
    return lines;
  }

private:
  std::string ReadLine()
  {
    while (this->text.find('\n') == std::string::npos) {
      char bytes[4096];
      const ssize_t count = read(this->ends[0], bytes, sizeof bytes);
      BOOST_REQUIRE(count > 0);
      this->text.append(bytes, static_cast<std::size_t>(count));
    }
    const auto end = this->text.find('\n');
    std::string line = this->text.substr(0, end);
    this->text.erase(0, end + 1);
    return line;
  }

  int ends[2];
  std::string text;
};

LogPipe&
SharedPipe()
{
  static auto* pipe = new LogPipe();
  return *pipe;
}

}

BOOST_AUTO_TEST_SUITE(log)

BOOST_AUTO_TEST_CASE(json_line_contains_the_fields_of_the_event)
{
  LogPipe& pipe = SharedPipe();
  Log(kTargetState, "i-\"1\"\n\xff", "ready", 18);
  const auto lines = pipe.ReadUntil("target_state");
  const auto line = boost::json::parse(lines.back()).as_object();
  BOOST_TEST(line.at("event").as_string() == "target_state");
  BOOST_TEST(line.at("level").as_string() == "info");
  BOOST_TEST(line.at("channel").as_string() == "target");
  BOOST_TEST(line.at("instance").as_string() == "i-\"1\"\n\u00ff");
  BOOST_TEST(line.at("slots").as_int64() == 18);
}

/// Reloading the settings once added a second sink, so that every later line
/// was written twice.
BOOST_AUTO_TEST_CASE(level_change_does_not_duplicate_lines)
{
  LogPipe& pipe = SharedPipe();
  SetLogLevel("warning");
  Log(kTargetDeparted, "left-out");
  SetLogLevel("info");
  Log(kTargetDeparted, "written");
  Log(kStopped, 0);
  const auto lines = pipe.ReadUntil("stopped");
  const auto count = [&](std::string_view aText) {
    return std::ranges::count_if(lines, [&](const std::string& aLine) {
      return aLine.find(aText) != std::string::npos;
    });
  };
  BOOST_TEST(count("left-out") == 0);
  BOOST_TEST(count("\"written\"") == 1);
}

/// Logging does not block while the log is not read, and dropped lines are
/// reported.
BOOST_AUTO_TEST_CASE(logging_does_not_wait_for_the_reader)
{
  LogPipe& pipe = SharedPipe();
  constexpr int kFlood = 20000;
  for (int i = 0; i < kFlood; ++i) {
    Log(kTargetDeparted, "flood");
  }
  const auto lines = pipe.ReadUntil("log_dropped");
  BOOST_TEST(lines.size() < kFlood);
  const auto dropped = boost::json::parse(lines.back()).as_object();
  BOOST_TEST(dropped.at("lines").as_int64() > 0);
}

BOOST_AUTO_TEST_CASE(text_line_quotes_values_with_spaces)
{
  LogLine line(LogFormat::Text);
  line.Add("a", "plain");
  line.Add("b", "two words");
  line.Add("c", Duration(1500us));
  const std::string text = std::move(line).Finish();
  BOOST_TEST(text == "a=plain b=\"two words\" c=1.500");
}

BOOST_AUTO_TEST_CASE(log_page_contains_the_reference)
{
  std::ifstream file(std::string(BAOBAB_SOURCE_DIR) + "/docs/LOGS.md");
  std::ostringstream page;
  page << file.rdbuf();
  BOOST_TEST(page.str().find(LogReference()) != std::string::npos);
}

/// The reference lists the events by hand and could miss one.
BOOST_AUTO_TEST_CASE(reference_contains_every_event)
{
  std::ifstream file(std::string(BAOBAB_SOURCE_DIR) +
                     "/include/baobab/net/log_events.hpp");
  std::size_t declared = 0;
  for (std::string line; std::getline(file, line);) {
    declared += line.starts_with("inline constexpr LogEvent ") ? 1 : 0;
  }
  const std::string reference = LogReference();
  std::size_t listed = 0;
  for (auto position = reference.find("### "); position != std::string::npos;
       position = reference.find("### ", position + 1)) {
    ++listed;
  }
  BOOST_TEST(listed == declared);
}

BOOST_AUTO_TEST_SUITE_END()

}
