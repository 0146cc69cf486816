#include "baobab/node/target_client.hpp"

#include "baobab/decision/retry_budget.hpp"
#include "baobab/net/clock.hpp"
#include "testing/scripted_server.hpp"

namespace baobab {
namespace {

/// A target that answers each request on a connection with given bytes.
struct ScriptedTarget : ScriptedServer
{
  using ScriptedServer::ScriptedServer;

  /// Calls a function with a client of this target.
  void Run(const std::function<void(TargetClient&)>& aBody)
  {
    this->settings.headers.requestId = "Request-Id";
    this->settings.headers.stamp = "Stamp";
    this->settings.headers.reserveNotRunStatuses = true;
    this->settings.headers.notRunRequiresCallId = false;
    this->Listening(
      [&](boost::asio::io_context& aContext, const Endpoint& aAddress) {
        TargetClient client(aContext, this->settings);
        client.SetTarget(aAddress, "i-1");
        aBody(client);
      });
  }

  Settings settings;
};

TargetResult
RunOne(TargetClient& aClient,
       const std::string& aId,
       bool aIdempotent = true,
       const std::string& aBody = "",
       bool aMayRepeat = true)
{
  Request request{ "quoting", aBody.empty() ? "GET" : "POST", "/", {}, aBody };
  request.headers.push_back({ "Request-Id", aId });
  TargetCallControl control;
  return aClient.Run(
    { { 1, 1 }, request, aIdempotent, Now() + 500ms, 1U << 20U },
    control,
    SendPermit::ForFirstSend(),
    [&] {
      RetryBudget budget(0, aMayRepeat ? 1 : 0);
      return budget.Spend();
    });
}

std::string
Answer(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + aId +
         "\r\nStamp: s\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

std::string
BodyOf(const TargetResult& aResult)
{
  const auto* answer = std::get_if<Answered>(&aResult.outcome);
  return answer == nullptr ? "(no answer)" : answer->response.body;
}

bool
IsUnknown(const TargetResult& aResult)
{
  return std::holds_alternative<OutcomeUnknown>(aResult.outcome);
}

}

BOOST_AUTO_TEST_SUITE(target_client)

/// Guards against passing the answer to one request to the sender of another.
BOOST_AUTO_TEST_CASE(
  an_extra_answer_on_a_connection_is_not_used_for_the_next_request)
{
  ScriptedTarget target{ { Answer("r1", "one"),
                           Answer("r1", "one again") + Answer("r2", "two") } };
  target.Run([](TargetClient& aClient) {
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
    BOOST_TEST(BodyOf(RunOne(aClient, "r2")) == "two");
  });
}

/// Guards against requests that crash one target after the other: the crash of
/// a pooled connection's target counted as "not run" and blamed nobody.
BOOST_AUTO_TEST_CASE(a_crash_on_a_pooled_connection_is_not_reported_as_not_run)
{
  ScriptedTarget target{ { Answer("r1", "one"), Answer("r2", "two") } };
  target.crashAt = 2;
  target.Run([](TargetClient& aClient) {
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
    const TargetResult crashed = RunOne(aClient, "r2");
    BOOST_TEST(IsUnknown(crashed));
    BOOST_TEST(crashed.connectionBroken);
  });
}

BOOST_AUTO_TEST_CASE(
  the_signals_of_an_answer_are_read_and_odd_limits_count_as_none)
{
  const auto signalsOf = [](const std::string& aLimit) {
    const HeaderNames names;
    const Response answer{
      200, { { names.requestLimit, aLimit }, { names.leaving, "1" } }, ""
    };
    return ReadSignals(answer, names);
  };
  BOOST_TEST(signalsOf("4.6").leaving);
  BOOST_TEST(signalsOf("4.6").requestLimit.value_or(-1) == 4.6);
  BOOST_TEST(signalsOf("0").requestLimit.value_or(-1) == 0);
  for (const std::string odd :
       { "", "x", "-1", "nan", "inf", "1e999", "4 6", "0x10", "4,6" }) {
    BOOST_TEST(!signalsOf(odd).requestLimit, "'" << odd << "'");
  }
}

/// Guards against "not run" for a request whose first exchange may have run.
BOOST_AUTO_TEST_CASE(a_refusal_after_a_lost_connection_is_not_passed_on)
{
  const std::string refusal =
    "HTTP/1.1 503 Full\r\nRequest-Id: r2\r\nBaobab-Not-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";
  ScriptedTarget target{ { Answer("r1", "one"), "" } };
  target.settings.headers.notRun = "Baobab-Not-Run";
  target.Run([&](TargetClient& aClient) {
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
    target.answers = { refusal };
    const TargetResult refused = RunOne(aClient, "r2");
    BOOST_TEST(target.requests == 3U);
    BOOST_TEST(IsUnknown(refused));
    BOOST_TEST(!refused.connectionBroken);
  });
}

// Requests that failed on a pooled connection were sent again beyond the retry
// budget of their service.
BOOST_AUTO_TEST_CASE(a_repeat_on_a_new_connection_needs_a_permit)
{
  for (const bool mayRepeat : { true, false }) {
    ScriptedTarget target{ { Answer("r1", "one"), "" } };
    target.Run([&](TargetClient& aClient) {
      BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
      target.answers = { Answer("r2", "two") };
      const TargetResult result = RunOne(aClient, "r2", true, "", mayRepeat);
      BOOST_TEST(target.requests == (mayRepeat ? 3U : 2U));
      BOOST_TEST(IsUnknown(result) != mayRepeat);
      BOOST_TEST(!result.connectionBroken);
      // The connection that was opened meanwhile serves the next request.
      BOOST_TEST(BodyOf(RunOne(aClient, "r2")) == "two");
    });
  }
}

/// Guards against "not run" for a request that runs, because the target repeats
/// the refusal of an earlier one, or of an earlier attempt of the same one.
BOOST_AUTO_TEST_CASE(a_repeated_refusal_is_not_used_for_a_later_request)
{
  for (const std::string later : { "r1", "r2" }) {
    const std::string refusal =
      "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nBaobab-Not-Run: 1\r\n"
      "Content-Length: 0\r\n\r\n";
    ScriptedTarget target{ { refusal, refusal + Answer(later, "answer") } };
    target.Run([&](TargetClient& aClient) {
      BOOST_TEST(std::holds_alternative<NotRun>(RunOne(aClient, "r1").outcome));
      target.answers = { Answer(later, "answer") };
      BOOST_TEST(BodyOf(RunOne(aClient, later)) == "answer");
    });
  }
}

/// Guards against a success made of an answer whose target stopped in the
/// middle of its head.
BOOST_AUTO_TEST_CASE(an_answer_that_ends_within_its_head_is_not_passed_on)
{
  for (const std::string framing : { "Content-Length: 4\r\n",
                                     "Content-Length: 0\r\n",
                                     "",
                                     "Transfer-Encoding: chunked\r\n",
                                     "Connection: close\r\n" }) {
    const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nStamp: s\r\n" + framing + "\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
      ScriptedTarget target{ { head.substr(0, length) } };
      target.Run([&](TargetClient& aClient) {
        BOOST_TEST(IsUnknown(RunOne(aClient, "r1", false, "order")),
                   "cut after " << head.substr(0, length));
      });
    }
  }
}

BOOST_AUTO_TEST_CASE(an_answer_with_another_request_id_is_not_passed_on)
{
  ScriptedTarget target{ { Answer("other", "theirs") } };
  target.Run([](TargetClient& aClient) {
    BOOST_TEST(IsUnknown(RunOne(aClient, "r1")));
  });
}

/// Bytes after a complete answer belong to no request.
BOOST_AUTO_TEST_CASE(a_connection_with_extra_bytes_is_not_reused)
{
  ScriptedTarget target{ { Answer("r1", "one") + "stray" } };
  target.Run([&](TargetClient& aClient) {
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
    BOOST_TEST(target.requests == 2U);
  });
}

/// A body that ends before its Content-Length must not look complete.
BOOST_AUTO_TEST_CASE(a_truncated_answer_is_not_passed_on)
{
  std::string cut = Answer("r1", "whole body");
  cut.resize(cut.size() - 4);
  ScriptedTarget target{ { cut } };
  target.Run([](TargetClient& aClient) {
    BOOST_TEST(IsUnknown(RunOne(aClient, "r1", false)));
  });
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_ends_when_its_connection_closes)
{
  ScriptedTarget target{
    { "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nStamp: s\r\n\r\nall of it" }
  };
  target.Run([](TargetClient& aClient) {
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "all of it");
  });
}

BOOST_AUTO_TEST_CASE(bytes_that_are_not_http_are_not_passed_on)
{
  ScriptedTarget target{ { "no HTTP at all\r\n\r\n" } };
  target.Run([](TargetClient& aClient) {
    BOOST_TEST(IsUnknown(RunOne(aClient, "r1", false)));
  });
}

/// Callers were sent status 000 as an answer, or told that a request had not
/// run because of a header beside it.
BOOST_AUTO_TEST_CASE(a_malformed_answer_is_not_passed_on)
{
  for (const char* status : { "000", "099", "101", "600" }) {
    for (const char* header : { "Stamp: s", "Baobab-Not-Run: 1" }) {
      std::string malformed = "HTTP/1.1 ";
      malformed += status;
      malformed += " Odd\r\nRequest-Id: r2\r\n";
      malformed += header;
      malformed += "\r\nContent-Length: 4\r\n\r\nodd!";
      ScriptedTarget target{ { Answer("r1", "one"), malformed } };
      target.settings.headers.notRun = "Baobab-Not-Run";
      target.Run([&](TargetClient& aClient) {
        BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
        const TargetResult kept = RunOne(aClient, "r2");
        BOOST_TEST(IsUnknown(kept));
        BOOST_TEST(!kept.connectionBroken);
        BOOST_TEST(target.requests == 2U);
        target.answers = { malformed };
        BOOST_TEST(IsUnknown(RunOne(aClient, "r2")));
        BOOST_TEST(IsUnknown(RunOne(aClient, "r2", false)));
        target.answers = { Answer("r2", "two") };
        BOOST_TEST(BodyOf(RunOne(aClient, "r2")) == "two");
        BOOST_TEST(target.requests == 5U);
      });
    }
  }
}

/// Callers were sent an interim answer that bears the ID of their request.
BOOST_AUTO_TEST_CASE(an_interim_answer_is_skipped_and_its_connection_is_kept)
{
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nRequest-Id: r1\r\n"
                              "Baobab-Not-Run: 1\r\n\r\n";
  ScriptedTarget target{ { interim + Answer("r1", "one"),
                           interim + Answer("r1", "two") } };
  target.settings.headers.notRun = "Baobab-Not-Run";
  target.Run([&](TargetClient& aClient) {
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "two");
  });
}

/// A load figure or an instance in a malformed answer must not be used.
BOOST_AUTO_TEST_CASE(a_malformed_health_answer_is_not_used)
{
  ScriptedTarget target{ { "HTTP/1.1 000 Odd\r\nBaobab-Load: 1,0,8\r\n"
                           "Content-Length: 0\r\n\r\n" } };
  target.Run([](TargetClient& aClient) {
    const auto health = aClient.GetHealth("/health", 1s);
    BOOST_TEST(
      (!Succeeded(health) && Failure(health).kind == ErrorKind::BadMessage));
  });
}

BOOST_AUTO_TEST_CASE(a_success_without_the_stamp_header_is_not_passed_on)
{
  ScriptedTarget target{ { "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                           "Content-Length: 2\r\n\r\nok" } };
  target.Run([](TargetClient& aClient) {
    BOOST_TEST(IsUnknown(RunOne(aClient, "r1", false)));
  });
}

/// Callers interpret status 503 as "not run". It is passed on only if the
/// target also sends the header for it.
BOOST_AUTO_TEST_CASE(a_not_run_status_needs_the_not_run_header)
{
  const std::string status = "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\n";
  ScriptedTarget silent{ { status + "Content-Length: 0\r\n\r\n" } };
  silent.Run([](TargetClient& aClient) {
    BOOST_TEST(IsUnknown(RunOne(aClient, "r1", false)));
  });
  ScriptedTarget plain{ { status + "Baobab-Not-Run: 1\r\n"
                                   "Content-Length: 0\r\n\r\n" } };
  plain.Run([](TargetClient& aClient) {
    const auto result = RunOne(aClient, "r1", false);
    BOOST_TEST(std::holds_alternative<NotRun>(result.outcome));
  });
}

BOOST_AUTO_TEST_CASE(a_call_meant_for_another_instance_was_not_run)
{
  ScriptedTarget target{ { "HTTP/1.1 421 Misdirected\r\nRequest-Id: r1\r\n"
                           "Content-Length: 0\r\n\r\n" } };
  target.Run([&](TargetClient& aClient) {
    const auto result = RunOne(aClient, "r1", false);
    const auto* refusal = std::get_if<NotRun>(&result.outcome);
    BOOST_REQUIRE(refusal != nullptr);
    BOOST_TEST((refusal->reason == RefusalReason::WrongInstance));
    BOOST_TEST(target.received.find("Baobab-Target-Instance: i-1") !=
               std::string::npos);
  });
}

/// The target answers before it has read a long body. The rest of the body must
/// not be read as the next request.
BOOST_AUTO_TEST_CASE(a_connection_is_not_reused_after_an_early_answer)
{
  ScriptedTarget target{ { Answer("r1", "early"), Answer("r2", "next") } };
  target.Run([&](TargetClient& aClient) {
    const std::string body(4U << 20U, 'b');
    const auto early = RunOne(aClient, "r1", false, body);
    BOOST_TEST((BodyOf(early) == "early" || IsUnknown(early)));
    const auto next = RunOne(aClient, "r2");
    BOOST_TEST((BodyOf(next) != "early"));
  });
}

/// The target may close an idle connection while a call is sent on it. Then it
/// is unknown whether the call runs, so only idempotent calls reuse one.
BOOST_AUTO_TEST_CASE(a_call_that_is_not_idempotent_gets_a_new_connection)
{
  ScriptedTarget target{ { Answer("r1", "one") } };
  target.Run([&](TargetClient& aClient) {
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
    BOOST_TEST(BodyOf(RunOne(aClient, "r1", false)) == "one");
    BOOST_TEST(target.requests == 2U);
  });
}

/// The target has closed the idle connection that the second call would use.
BOOST_AUTO_TEST_CASE(a_closed_idle_connection_is_replaced)
{
  ScriptedTarget target{ { Answer("r1", "one") } };
  target.Run([&](TargetClient& aClient) {
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
    boost::this_fiber::sleep_for(20ms);
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
  });
}

BOOST_AUTO_TEST_CASE(a_call_to_a_silent_target_ends_at_its_deadline)
{
  ScriptedTarget target{ { "" } };
  target.answers.push_back("");
  target.Run([](TargetClient& aClient) {
    const TimePoint began = Now();
    const auto result = RunOne(aClient, "r1", false);
    const auto* unknown = std::get_if<OutcomeUnknown>(&result.outcome);
    BOOST_REQUIRE(unknown != nullptr);
    BOOST_TEST((unknown->cause == UnknownCause::DeadlinePassed));
    BOOST_TEST((Now() - began >= 500ms));
  });
}

BOOST_AUTO_TEST_SUITE_END()

}
