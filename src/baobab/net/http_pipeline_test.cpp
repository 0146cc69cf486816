#include "baobab/core/random.hpp"
#include "baobab/decision/pipeline_order.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/fiber_event.hpp"
#include "http_test_server.hpp"

#include <algorithm>
#include <map>

namespace baobab {
namespace {

/// Number of the request in its path `/N`, or `/N-KIND`.
int
NumberOf(const Request& aRequest)
{
  return std::stoi(aRequest.target.substr(1));
}

std::string
Get(int aNumber, const std::string& aHeaders = "")
{
  return "GET /" + std::to_string(aNumber) + " HTTP/1.1\r\nHost: h\r\n" +
         aHeaders + "\r\n";
}

std::string
Post(int aNumber)
{
  return "POST /" + std::to_string(aNumber) +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
}

/// Bodies of the answers `N;` in the order in which they were received.
std::string
BodiesOf(const std::string& aAnswers)
{
  std::string bodies;
  for (std::size_t at = 0;
       (at = aAnswers.find("\r\n\r\n", at)) != std::string::npos;) {
    at += 4;
    const auto end = aAnswers.find("HTTP/1.1", at);
    bodies += aAnswers.substr(at, end == std::string::npos ? end : end - at);
  }
  return bodies;
}

std::size_t
CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

/// A server whose requests wait until the test lets them finish. Requests with
/// the method GET may overlap.
struct PipelineServer : TestServer
{
  PipelineServer()
  {
    this->handler.mayOverlap = [](const HttpHead& aHead) {
      return aHead.method == "GET";
    };
    this->handler.handleRequest = [this](Request&& aRequest,
                                         DisconnectNotifier& aNotifier) {
      const int number = NumberOf(aRequest);
      this->started.push_back(number);
      this->mostRunning =
        std::max(this->mostRunning,
                 static_cast<int>(this->started.size()) - this->ended);
      FiberEvent& event = this->events[number];
      aNotifier.OnDisconnect([&event] { event.Notify(); });
      if (!this->open) {
        event.WaitUntil(Now() + 10s);
      }
      aNotifier.OnDisconnect(nullptr);
      this->notified += aNotifier.Disconnected() ? 1 : 0;
      ++this->ended;
      return TextResponse(
        200, std::to_string(number) + ";" + std::string(this->padding, 'x'));
    };
    this->handler.handleError = [](HttpRequestError aError) {
      return TextResponse(aError == HttpRequestError::Stopping ? 503 : 400,
                          "error;");
    };
  }

  /// Waits until a number of requests has started; false if they do not.
  bool WaitStarted(std::size_t aCount)
  {
    return WaitUntil([&] { return this->started.size() >= aCount; });
  }

  bool WaitEnded(int aCount)
  {
    return WaitUntil([&] { return this->ended >= aCount; });
  }

  bool WaitIdle()
  {
    return WaitUntil([&] { return this->state.ActiveRequests() == 0; });
  }

  void Finish(int aNumber) { this->events[aNumber].Notify(); }

  /// Lets all requests finish at once from now on.
  void Open()
  {
    this->open = true;
    for (auto& [number, event] : this->events) {
      event.Notify();
    }
  }

  template<class F>
  static bool WaitUntil(F aCondition)
  {
    const TimePoint end = Now() + 5s;
    while (!aCondition()) {
      if (Now() > end) {
        return false;
      }
      boost::this_fiber::sleep_for(1ms);
    }
    return true;
  }

  std::vector<int> started;
  int ended = 0;
  int notified = 0;
  int mostRunning = 0;
  bool open = false;
  /// Bytes that are added to each answer.
  std::size_t padding = 0;
  std::map<int, FiberEvent> events;
};

/// Time for a request to start that must not.
constexpr Duration kQuietTime = 50ms;

}

BOOST_AUTO_TEST_SUITE(http_pipeline)

BOOST_AUTO_TEST_CASE(pipelined_requests_run_side_by_side)
{
  PipelineServer server;
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, Get(1) + Get(2));
    BOOST_TEST(server.WaitStarted(2));
    BOOST_TEST(server.ended == 0);
    server.Finish(2);
    BOOST_TEST(server.WaitEnded(1));
    server.Finish(1);
    SendText(aCaller, Get(3, "Connection: close\r\n"));
    BOOST_TEST(server.WaitStarted(3));
    server.Finish(3);
    BOOST_TEST(BodiesOf(ReadAll(aCaller)) == "1;2;3;");
  });
  BOOST_TEST(server.state.ActiveRequests() == 0U);
}

/// The second request arrives, in two parts, while the first one runs.
BOOST_AUTO_TEST_CASE(a_request_sent_later_runs_beside_the_first)
{
  PipelineServer server;
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, Get(1));
    BOOST_TEST(server.WaitStarted(1));
    const std::string second = Get(2, "Connection: close\r\n");
    SendText(aCaller, second.substr(0, 9));
    boost::this_fiber::sleep_for(10ms);
    SendText(aCaller, second.substr(9));
    BOOST_TEST(server.WaitStarted(2));
    BOOST_TEST(server.ended == 0);
    server.Open();
    BOOST_TEST(BodiesOf(ReadAll(aCaller)) == "1;2;");
  });
}

BOOST_AUTO_TEST_CASE(requests_do_not_overlap_unless_the_handler_allows_it)
{
  PipelineServer server;
  server.handler.mayOverlap = nullptr;
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, Get(1) + Get(2, "Connection: close\r\n"));
    BOOST_TEST(server.WaitStarted(1));
    boost::this_fiber::sleep_for(kQuietTime);
    BOOST_TEST(server.started.size() == 1U);
    server.Open();
    BOOST_TEST(BodiesOf(ReadAll(aCaller)) == "1;2;");
  });
}

BOOST_AUTO_TEST_CASE(nothing_behind_a_closing_request_is_handled)
{
  PipelineServer server;
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller,
             Get(1) + Get(2, "Connection: close\r\n") + Get(3) + Get(4));
    BOOST_TEST(server.WaitStarted(2));
    boost::this_fiber::sleep_for(kQuietTime);
    BOOST_TEST(server.started.size() == 2U);
    server.Open();
    const std::string answers = ReadAll(aCaller);
    BOOST_TEST(BodiesOf(answers) == "1;2;");
    BOOST_TEST(CountOf(answers, "Connection: close") == 1U);
  });
  BOOST_TEST(server.started.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_malformed_request_is_answered_in_its_turn)
{
  PipelineServer server;
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, Get(1) + Get(2) + "NONSENSE\r\n\r\n" + Get(3));
    BOOST_TEST(server.WaitStarted(2));
    boost::this_fiber::sleep_for(kQuietTime);
    server.Open();
    BOOST_TEST(BodiesOf(ReadAll(aCaller)) == "1;2;error;");
  });
  BOOST_TEST(server.started.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_request_that_may_not_be_repeated_runs_alone)
{
  PipelineServer server;
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller,
             Get(1) + Get(2) + Post(3) + Get(4, "Connection: close\r\n"));
    BOOST_TEST(server.WaitStarted(2));
    server.Finish(2);
    BOOST_TEST(server.WaitEnded(1));
    boost::this_fiber::sleep_for(kQuietTime);
    BOOST_TEST(server.started.size() == 2U);
    server.Finish(1);
    BOOST_TEST(server.WaitStarted(3));
    boost::this_fiber::sleep_for(kQuietTime);
    BOOST_TEST(server.started.size() == 3U);
    server.Finish(3);
    BOOST_TEST(server.WaitStarted(4));
    server.Finish(4);
    BOOST_TEST(BodiesOf(ReadAll(aCaller)) == "1;2;3;4;");
  });
  BOOST_TEST((server.started == std::vector{ 1, 2, 3, 4 }));
}

BOOST_AUTO_TEST_CASE(the_number_of_requests_side_by_side_is_bounded)
{
  constexpr int kRequests = 20;
  constexpr int kBound = static_cast<int>(PipelineOrder::kMaxRequests);
  PipelineServer server;
  server.Run([&](Tcp::socket& aCaller) {
    std::string requests;
    std::string expected;
    for (int i = 1; i <= kRequests; ++i) {
      requests += Get(i, i == kRequests ? "Connection: close\r\n" : "");
      expected += std::to_string(i) + ";";
    }
    SendText(aCaller, requests);
    BOOST_TEST(server.WaitStarted(kBound));
    boost::this_fiber::sleep_for(kQuietTime);
    BOOST_TEST(server.started.size() == PipelineOrder::kMaxRequests);
    server.Open();
    BOOST_TEST(BodiesOf(ReadAll(aCaller)) == expected);
  });
  BOOST_TEST(server.mostRunning == kBound);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_all_its_requests)
{
  PipelineServer server;
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, Get(1) + Get(2) + Get(3));
    BOOST_TEST(server.WaitStarted(3));
    aCaller.close();
    BOOST_TEST(server.WaitEnded(3));
    BOOST_TEST(server.WaitIdle());
  });
  BOOST_TEST(server.notified == 3);
}

/// The requests that are not read yet must not hide the close.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_behind_unread_requests_is_noticed)
{
  for (const std::string& first :
       { Post(1), Get(1, "Connection: close\r\n") }) {
    PipelineServer server;
    server.Run([&](Tcp::socket& aCaller) {
      SendText(aCaller, first + Get(2) + Get(3));
      BOOST_TEST(server.WaitStarted(1));
      SendText(aCaller, Get(4));
      boost::this_fiber::sleep_for(10ms);
      aCaller.close();
      BOOST_TEST(server.WaitEnded(1));
      BOOST_TEST(server.WaitIdle());
    });
    BOOST_TEST(server.notified == 1);
    BOOST_TEST(server.started.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_withdraws_what_waits_for_its_turn)
{
  PipelineServer server;
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, Get(1) + Post(2) + Get(3));
    BOOST_TEST(server.WaitStarted(1));
    boost::this_fiber::sleep_for(10ms);
    aCaller.close();
    BOOST_TEST(server.WaitEnded(1));
    BOOST_TEST(server.WaitIdle());
  });
  BOOST_TEST(server.notified == 1);
  BOOST_TEST(server.started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_reset_ends_all_requests)
{
  PipelineServer server;
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, Get(1) + Get(2));
    BOOST_TEST(server.WaitStarted(2));
    aCaller.set_option(boost::asio::socket_base::linger(true, 0));
    aCaller.close();
    BOOST_TEST(server.WaitEnded(2));
    BOOST_TEST(server.WaitIdle());
  });
  BOOST_TEST(server.notified == 2);
}

/// What was read before the stop is answered; only the last answer closes.
BOOST_AUTO_TEST_CASE(shutdown_answers_all_requests_that_were_read)
{
  PipelineServer server;
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, Get(1) + Get(2) + Post(3));
    BOOST_TEST(server.WaitStarted(2));
    BOOST_TEST(PipelineServer::WaitUntil(
      [&] { return server.state.ActiveRequests() == 3; }));
    server.state.StopKeepAlive();
    SendText(aCaller, Get(4));
    server.Open();
    const std::string answers = ReadAll(aCaller);
    BOOST_TEST(BodiesOf(answers) == "1;2;3;");
    BOOST_TEST(CountOf(answers, "Connection: close") == 1U);
    BOOST_TEST(answers.rfind("Connection: close") > answers.find("2;"));
  });
  BOOST_TEST(server.started.size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_request_complete_after_the_stop_is_refused_in_its_turn)
{
  PipelineServer server;
  server.Run([&](Tcp::socket& aCaller) {
    const std::string second = Get(2);
    SendText(aCaller, Get(1) + second.substr(0, 12));
    BOOST_TEST(server.WaitStarted(1));
    boost::this_fiber::sleep_for(10ms);
    server.state.StopKeepAlive();
    SendText(aCaller, second.substr(12));
    boost::this_fiber::sleep_for(10ms);
    server.Open();
    const std::string answers = ReadAll(aCaller);
    BOOST_TEST(BodiesOf(answers) == "1;error;");
    BOOST_TEST(answers.find("HTTP/1.1 503") != std::string::npos);
  });
  BOOST_TEST(server.started.size() == 1U);
}

/// The time limit of a header must not break off the answers before it.
BOOST_AUTO_TEST_CASE(a_slow_request_does_not_break_those_before_it)
{
  PipelineServer server;
  server.limits.headerTimeout = 100ms;
  std::optional<HttpRequestError> error;
  server.handler.handleError = [&](HttpRequestError aError) {
    error = aError;
    return TextResponse(408, "slow;");
  };
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, Get(1) + "GET /2 HT");
    BOOST_TEST(server.WaitStarted(1));
    boost::this_fiber::sleep_for(400ms);
    BOOST_TEST(server.notified == 0);
    server.Open();
    BOOST_TEST(BodiesOf(ReadAll(aCaller)) == "1;slow;");
  });
  BOOST_TEST((error == HttpRequestError::TimedOut));
}

/// The same while the answer is being written.
BOOST_AUTO_TEST_CASE(a_slow_request_does_not_break_the_write_before_it)
{
  constexpr std::size_t kLarge = 32U << 20U;
  PipelineServer server;
  server.limits.headerTimeout = 100ms;
  server.handler.handleRequest = [&](Request&&, DisconnectNotifier&) {
    return TextResponse(200, std::string(kLarge, 'x') + ";");
  };
  bool refused = false;
  server.handler.handleError = [&](HttpRequestError) {
    refused = true;
    return TextResponse(408, "slow;");
  };
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, Get(1) + "GET /2 HT");
    boost::this_fiber::sleep_for(400ms);
    BOOST_TEST(!refused);
    const std::string answers = ReadAll(aCaller);
    BOOST_TEST(answers.size() > kLarge);
    BOOST_TEST(answers.ends_with("slow;"));
  });
}

/// A request in progress has no header to wait for.
BOOST_AUTO_TEST_CASE(the_time_of_a_request_does_not_count_for_the_next_header)
{
  PipelineServer server;
  server.limits.headerTimeout = 100ms;
  server.limits.idleTimeout = 100ms;
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, Get(1) + Get(2));
    BOOST_TEST(server.WaitStarted(2));
    boost::this_fiber::sleep_for(400ms);
    SendText(aCaller, Get(3, "Connection: close\r\n"));
    BOOST_TEST(server.WaitStarted(3));
    server.Open();
    BOOST_TEST(BodiesOf(ReadAll(aCaller)) == "1;2;3;");
  });
}

/// The interim response must not stand among the answers before it.
BOOST_AUTO_TEST_CASE(continue_waits_for_the_answers_before_it)
{
  PipelineServer server;
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller,
             Get(1) + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                      "Expect: 100-continue\r\nConnection: close\r\n\r\n");
    BOOST_TEST(server.WaitStarted(1));
    boost::this_fiber::sleep_for(10ms);
    server.Open();
    boost::this_fiber::sleep_for(10ms);
    SendText(aCaller, "ab");
    const std::string answers = ReadAll(aCaller);
    BOOST_TEST(answers.find("100 Continue") > answers.find("1;"));
    BOOST_TEST(answers.ends_with("2;"));
  });
}

/// A reset on close would take what was not sent yet from the caller.
BOOST_AUTO_TEST_CASE(requests_behind_a_closing_one_do_not_reset_the_connection)
{
  PipelineServer server;
  server.padding = 16U << 20U;
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, Get(1, "Connection: close\r\n"));
    BOOST_TEST(server.WaitStarted(1));
    SendText(aCaller, Get(2) + Get(3));
    boost::this_fiber::sleep_for(10ms);
    server.Open();
    boost::system::error_code end;
    BOOST_TEST(ReadAll(aCaller, &end).size() > server.padding);
    BOOST_TEST(end == boost::asio::error::eof);
  });
  BOOST_TEST(server.started.size() == 1U);
}

/// Answers are a prefix of the requests in their order; requests that may not
/// be repeated run alone; nothing runs behind a closing request.
BOOST_AUTO_TEST_CASE(random_pipelines_keep_the_order)
{
  SplitMix random(1);
  const auto draw = [&](int aCount) {
    return static_cast<int>(UniformFraction(random) * aCount);
  };
  for (int round = 0; round < 100; ++round) {
    TestServer server;
    int running = 0;
    bool runsAlone = false;
    int closing = 1000;
    server.handler.mayOverlap = [](const HttpHead& aHead) {
      return aHead.method == "GET";
    };
    server.handler.handleRequest = [&](Request&& aRequest,
                                       DisconnectNotifier& aNotifier) {
      const bool alone = aRequest.method != "GET";
      BOOST_TEST(!runsAlone);
      BOOST_TEST((!alone || running == 0));
      BOOST_TEST(NumberOf(aRequest) <= closing);
      ++running;
      runsAlone = alone;
      FiberEvent left;
      aNotifier.OnDisconnect([&] { left.Notify(); });
      left.WaitUntil(Now() + draw(3) * 1ms);
      aNotifier.OnDisconnect(nullptr);
      runsAlone = false;
      --running;
      return TextResponse(200, std::to_string(NumberOf(aRequest)) + ";");
    };
    server.Run([&](Tcp::socket& aCaller) {
      std::string expected;
      std::string requests;
      const int count = 1 + draw(12);
      for (int i = 1; i <= count; ++i) {
        const bool closes = closing == 1000 && (i == count || draw(20) == 0);
        requests += draw(4) == 0 && !closes
                      ? Post(i)
                      : Get(i, closes ? "Connection: close\r\n" : "");
        closing = closes ? i : closing;
        expected += i <= closing ? std::to_string(i) + ";" : "";
      }
      for (std::size_t sent = 0; sent < requests.size();) {
        const std::string part = requests.substr(sent, 1 + draw(300));
        SendText(aCaller, part);
        sent += part.size();
        boost::this_fiber::sleep_for(draw(2) * 1ms);
      }
      if (draw(3) == 0) {
        aCaller.close();
        PipelineServer::WaitUntil(
          [&] { return server.state.ActiveRequests() == 0; });
        return;
      }
      BOOST_TEST(BodiesOf(ReadAll(aCaller)) == expected);
    });
    BOOST_TEST(running == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}
