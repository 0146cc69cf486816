#include "baobab/node/target_client.hpp"

#include "baobab/net/accept.hpp"
#include "baobab/net/clock.hpp"
#include "testing/on_fiber.hpp"

#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

/// A target that sends given bytes for each request on a connection.
struct ScriptedTarget
{
  /// Bytes sent after the first, second, ... request of a connection; a
  /// connection without bytes left is closed.
  std::vector<std::string> answers;
  std::size_t requests = 0;
  std::string received;

  void Serve(Tcp::socket aSocket)
  {
    for (const std::string& answer : this->answers) {
      std::string request;
      while (request.find("\r\n\r\n") == std::string::npos) {
        char bytes[4096];
        const IoResult read = Await([&](auto aDone) {
          aSocket.async_read_some(boost::asio::buffer(bytes), aDone);
        });
        if (!read) {
          return;
        }
        request.append(bytes, read.bytes);
      }
      ++this->requests;
      this->received += request;
      Await([&](auto aDone) {
        boost::asio::async_write(aSocket, boost::asio::buffer(answer), aDone);
      });
    }
  }

  /// Runs a body with a client of this target.
  void Run(const std::function<void(TargetClient&)>& aBody)
  {
    OnFiber([&](boost::asio::io_context& aContext) {
      auto acceptor = Listen(aContext, { 0x7f000001, 0 });
      BOOST_TEST(Succeeded(acceptor));
      boost::fibers::fiber server([&] {
        AcceptConnections(Value(acceptor), [&](Tcp::socket aSocket) {
          Spawn([this, socket = std::move(aSocket)]() mutable {
            this->Serve(std::move(socket));
          });
        });
      });
      this->settings.headers.requestId = "Request-Id";
      this->settings.headers.stamp = "Stamp";
      this->settings.headers.statusesPromise = true;
      this->settings.headers.notRunNamesCall = false;
      {
        TargetClient client(aContext, this->settings);
        client.SetTarget(
          { 0x7f000001, Value(acceptor).local_endpoint().port() }, "i-1");
        aBody(client);
      }
      Value(acceptor).close();
      server.join();
      boost::this_fiber::sleep_for(20ms);
    });
  }

  Settings settings;
};

TargetResult
RunOne(TargetClient& aClient,
       const std::string& aId,
       bool aIdempotent = true,
       const std::string& aBody = "")
{
  Request request{ "quoting", aBody.empty() ? "GET" : "POST", "/", {}, aBody };
  request.headers.push_back({ "Request-Id", aId });
  TargetCallControl control;
  return aClient.Run(
    { { 1, 1 }, request, aIdempotent, Now() + 500ms, 1U << 20U }, control);
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

BOOST_AUTO_TEST_CASE(a_late_extra_answer_is_discarded)
{
  ScriptedTarget target{ { Answer("r1", "one"),
                           Answer("r1", "one again") + Answer("r2", "two") } };
  target.Run([](TargetClient& aClient) {
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
    BOOST_TEST(BodyOf(RunOne(aClient, "r2")) == "two");
  });
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_nobodys)
{
  ScriptedTarget target{ { Answer("other", "theirs") } };
  target.Run([](TargetClient& aClient) {
    BOOST_TEST(IsUnknown(RunOne(aClient, "r1")));
  });
}

/// Bytes after a complete answer belong to no request; the connection is not
/// used again.
BOOST_AUTO_TEST_CASE(a_connection_with_stray_bytes_is_left)
{
  ScriptedTarget target{ { Answer("r1", "one") + "stray" } };
  target.Run([&](TargetClient& aClient) {
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
    BOOST_TEST(target.requests == 2U);
  });
}

BOOST_AUTO_TEST_CASE(a_truncated_answer_is_no_answer)
{
  std::string cut = Answer("r1", "whole body");
  cut.resize(cut.size() - 4);
  ScriptedTarget target{ { cut } };
  target.Run([](TargetClient& aClient) {
    BOOST_TEST(IsUnknown(RunOne(aClient, "r1", false)));
  });
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_ends_with_its_connection)
{
  ScriptedTarget target{
    { "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nStamp: s\r\n\r\nall of it" }
  };
  target.Run([](TargetClient& aClient) {
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "all of it");
  });
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_answer_are_not_passed_on)
{
  ScriptedTarget target{ { "no HTTP at all\r\n\r\n" } };
  target.Run([](TargetClient& aClient) {
    BOOST_TEST(IsUnknown(RunOne(aClient, "r1", false)));
  });
}

BOOST_AUTO_TEST_CASE(a_success_without_its_stamp_is_not_passed_on)
{
  ScriptedTarget target{ { "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                           "Content-Length: 2\r\n\r\nok" } };
  target.Run([](TargetClient& aClient) {
    BOOST_TEST(IsUnknown(RunOne(aClient, "r1", false)));
  });
}

/// A status that promises "not run" must not come from a target that says
/// nothing about it.
BOOST_AUTO_TEST_CASE(a_promise_needs_the_targets_word)
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

BOOST_AUTO_TEST_CASE(another_instance_at_the_address_has_not_run_it)
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

/// The target answers before it has read a long body. What is left of the body
/// must not be taken for the next request.
BOOST_AUTO_TEST_CASE(an_early_answer_ends_the_use_of_its_connection)
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

/// Only an idempotent call may ride a connection that was used before, since
/// it may have been closed under it.
BOOST_AUTO_TEST_CASE(a_call_that_may_not_be_repeated_gets_a_fresh_connection)
{
  ScriptedTarget target{ { Answer("r1", "one") } };
  target.Run([&](TargetClient& aClient) {
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
    BOOST_TEST(BodyOf(RunOne(aClient, "r1", false)) == "one");
    BOOST_TEST(target.requests == 2U);
  });
}

/// A target that forgets an idle connection resets what is sent next on it.
BOOST_AUTO_TEST_CASE(a_forgotten_connection_is_replaced)
{
  ScriptedTarget target{ { Answer("r1", "one") } };
  target.Run([&](TargetClient& aClient) {
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
    boost::this_fiber::sleep_for(20ms);
    BOOST_TEST(BodyOf(RunOne(aClient, "r1")) == "one");
  });
}

BOOST_AUTO_TEST_CASE(a_silent_target_ends_with_the_deadline)
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
