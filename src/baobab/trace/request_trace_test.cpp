#include "baobab/trace/request_trace.hpp"

#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

/// Logs of two daemons. The clock at the target is 5 s ahead.
constexpr std::string_view kCallerLog =
  R"({"time":"2026-12-04T10:00:00.120000Z","level":"info","channel":"ingress","event":"call_attempt","request":"r1","call":"c-1","target":"10.0.0.2:7100","began_ms":1.000,"took_ms":4.000,"outcome":"not-run","detail":"overloaded: the queue is full"}
{"time":"2026-12-04T10:00:00.120010Z","level":"info","channel":"ingress","event":"call_attempt","request":"r1","call":"c-2","target":"10.0.0.2:7100","began_ms":6.000,"took_ms":114.000,"outcome":"answered","detail":"200"}
{"time":"2026-12-04T10:00:00.120000Z","level":"info","channel":"ingress","event":"call_ended","request":"r1","service":"quoting","class":"late","status":200,"detail":"","took_ms":120.000}
this is not a line of the log
)";

constexpr std::string_view kTargetLog =
  R"({"time":"2026-12-04T10:00:05.003000Z","level":"info","channel":"admission","event":"call_refused","request":"r1","call":"c-1","reason":"overloaded","waited_ms":0.000}
{"time":"2026-12-04T10:00:05.118000Z","level":"info","channel":"admission","event":"call_finished","request":"r1","call":"c-2","status":200,"waited_ms":10.000,"ran_ms":100.000}
{"time":"2026-12-04T10:00:05.119000Z","level":"info","channel":"admission","event":"call_finished","request":"r9","call":"c-9","status":200,"waited_ms":10.000,"ran_ms":100.000}
)";

std::vector<LogRecord>
Records()
{
  auto records = ParseLog(kCallerLog, "caller");
  const auto target = ParseLog(kTargetLog, "target");
  records.insert(records.end(), target.begin(), target.end());
  return records;
}

}

BOOST_AUTO_TEST_SUITE(request_trace)

/// The logged times alone give a wrong order: the clocks of the daemons differ,
/// and attempts are logged when the call has ended.
BOOST_AUTO_TEST_CASE(lines_of_both_daemons_are_ordered_by_corrected_time)
{
  const auto records = Records();
  const auto trace = TraceRequest(records, "r1");
  BOOST_REQUIRE(trace.size() == 5U);
  const auto eventAt = [&](std::size_t aIndex) {
    return trace[aIndex].record->event;
  };
  BOOST_TEST(eventAt(0) == "call_attempt");
  BOOST_TEST(eventAt(1) == "call_refused");
  BOOST_TEST(eventAt(2) == "call_attempt");
  BOOST_TEST(eventAt(3) == "call_finished");
  BOOST_TEST(eventAt(4) == "call_ended");
  BOOST_TEST((trace[4].sinceFirstStep == std::chrono::milliseconds(119)));
}

BOOST_AUTO_TEST_CASE(clock_offsets_are_estimated)
{
  const auto offsets = EstimateOffsets(Records());
  const auto offset = offsets.at({ "caller", "target" });
  BOOST_TEST((offset > std::chrono::milliseconds(4995)));
  BOOST_TEST((offset < std::chrono::milliseconds(5005)));
}

BOOST_AUTO_TEST_CASE(attempt_id_finds_its_request)
{
  const auto records = Records();
  BOOST_TEST(TraceRequest(records, "c-2").size() == 5U);
  BOOST_TEST(TraceRequest(records, "unknown").empty());
}

BOOST_AUTO_TEST_CASE(daemon_name_in_front_of_a_line_is_used)
{
  const auto record = ParseLogLine(
    R"(  6.31 host-a {"time":"2026-12-04T10:00:00.1Z","event":"stopped"})",
    "file");
  BOOST_REQUIRE(record.has_value());
  BOOST_TEST(record->source == "host-a");
}

BOOST_AUTO_TEST_CASE(unsuccessful_requests_are_listed)
{
  const auto records = Records();
  BOOST_TEST(
    FormatUnsuccessfulRequests(records, 10).find("r1  late  quoting") !=
    std::string::npos);
  BOOST_TEST(FormatUnsuccessfulRequests(records, 0).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}
