#include "baobab/load/runner.hpp"

#include "testing/scripted_server.hpp"

#include <atomic>
#include <thread>

namespace baobab {
namespace {

/// Returns the outcome that all calls of a short experiment have.
ReportedOutcome
OutcomeWith(const std::string& aAnswer)
{
  std::vector<CallResult> results;
  ScriptedServer({ aAnswer })
    .Listening([&](boost::asio::io_context&, const Endpoint& aServer) {
      Experiment experiment;
      experiment.rate = 1;
      experiment.seconds = 1;
      experiment.workers = 1;
      experiment.postFraction = 0;
      experiment.addresses = { ToString(aServer) };
      experiment.services = { "quoting.example" };
      std::atomic<bool> done{ false };
      std::thread runner([&] {
        results = RunExperiment(experiment, [](std::size_t) {});
        done = true;
      });
      while (!done) {
        boost::this_fiber::sleep_for(10ms);
      }
      runner.join();
    });
  const bool same = !results.empty() &&
                    std::ranges::all_of(results, [&](const CallResult& aCall) {
                      return aCall.outcome == results.front().outcome;
                    });
  BOOST_TEST(same);
  return same ? results.front().outcome : ReportedOutcome::Unknown;
}

}

BOOST_AUTO_TEST_SUITE(runner)

BOOST_AUTO_TEST_CASE(malformed_answers_are_reported_as_wrong)
{
  BOOST_TEST((OutcomeWith("HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n") ==
              ReportedOutcome::Wrong));
  BOOST_TEST((OutcomeWith("HTTP/1.1 200 OK\r\nX y: v\r\n\r\n") ==
              ReportedOutcome::Wrong));
  BOOST_TEST((OutcomeWith("HTTP/1.1 200 OK\r\n") == ReportedOutcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

}
