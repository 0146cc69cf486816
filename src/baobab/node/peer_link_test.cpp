#include "baobab/node/peer_link.hpp"

#include "baobab/core/result.hpp"
#include "baobab/net/accept.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/worker.hpp"
#include "testing/on_fiber.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

/// Sends the messages with which a daemon answers a call.
using Answerer = std::function<void(FrameConnection&, const CallId&)>;

void
ServeCalls(Tcp::socket aSocket, const Answerer& aAnswerer)
{
  const auto frames = std::make_shared<FrameConnection>(std::move(aSocket));
  while (true) {
    auto message = frames->Read();
    if (!Succeeded(message)) {
      return;
    }
    if (std::holds_alternative<HelloMessage>(Value(message))) {
      frames->Send(WelcomeMessage{ 1 });
    } else if (const auto* call = std::get_if<CallMessage>(&Value(message))) {
      aAnswerer(*frames, call->id);
    }
  }
}

/// Runs one call over a link to a daemon.
AttemptResult
CallDaemon(const Answerer& aAnswerer, LoadListener aOnLoad = nullptr)
{
  std::optional<AttemptResult> result;
  OnFiber([&](boost::asio::io_context& aContext) {
    auto acceptor = Listen(aContext, { 0x7f000001, 0 });
    BOOST_TEST(Succeeded(acceptor));
    const Endpoint address{ 0x7f000001,
                            Value(acceptor).local_endpoint().port() };
    boost::fibers::fiber server([&] {
      AcceptConnections(Value(acceptor), [&](Tcp::socket aSocket) {
        Spawn([socket = std::move(aSocket), aAnswerer]() mutable {
          ServeCalls(std::move(socket), aAnswerer);
        });
      });
    });
    // The link's fibers run until the process ends.
    static const Timeouts timeouts;
    const auto link = std::make_shared<PeerLink>(
      aContext, address, LinkIdentity{ 7, "perth", 0 }, timeouts, aOnLoad);
    CallTerms terms;
    terms.deadline = Now() + 10s;
    const Request request{ "quoting", "GET", "/", {}, "" };
    result = link->Run(request, terms, SendPermit::ForFirstSend());
    Value(acceptor).close();
    server.join();
  });
  return std::move(*result);
}

AttemptResult
CallAnsweredWith(const Response& aResponse)
{
  return CallDaemon([aResponse](FrameConnection& aFrames, const CallId& aId) {
    aFrames.Send(AnswerMessage{ aId, aResponse, std::nullopt });
  });
}

}

BOOST_AUTO_TEST_SUITE(peer_link)

/// Guards against a link that ignores load updates. Second attempts for calls
/// on slow hosts were then never sent.
BOOST_AUTO_TEST_CASE(load_reports_are_passed_to_the_listener)
{
  const LoadReport sent{ 3, 1, 18, 700 };
  std::vector<LoadReport> received;
  const AttemptResult result = CallDaemon(
    [sent](FrameConnection& aFrames, const CallId& aId) {
      aFrames.Send(LoadUpdateMessage{ sent });
      aFrames.Send(RefusalMessage{
        aId, { RefusalReason::Overloaded, "full" }, std::nullopt });
    },
    [&](const Endpoint&, const LoadReport& aLoad) {
      received.push_back(aLoad);
    });
  BOOST_TEST(std::holds_alternative<NotRun>(result.outcome));
  BOOST_REQUIRE(received.size() == 1U);
  BOOST_TEST((received[0] == sent));
}

/// Callers were sent what another daemon passed on from a target in trouble.
BOOST_AUTO_TEST_CASE(a_malformed_answer_of_a_daemon_is_not_passed_on)
{
  const std::vector<HeaderField> none;
  std::vector<Response> malformed;
  for (const unsigned status : { 0U, 99U, 100U, 101U, 103U, 600U, 65535U }) {
    malformed.push_back({ status, none, "body" });
  }
  for (const std::string name : { "",
                                  "a b",
                                  "a\tb",
                                  "a:",
                                  "a\r\nb",
                                  "a\x7f",
                                  "a\x80",
                                  "Content-Length",
                                  "transfer-encoding" }) {
    malformed.push_back({ 200, { { name, "v" } }, "body" });
  }
  for (const std::string value :
       { "a\r\nb", "a\nb", "a\rb", "a\x01", "a\x7f" }) {
    malformed.push_back({ 200, { { "Name", value } }, "body" });
  }
  malformed.push_back({ 200, { { "Name", std::string("a\0b", 3) } }, "body" });
  for (const Response& response : malformed) {
    const AttemptResult result = CallAnsweredWith(response);
    const auto* unknown = std::get_if<OutcomeUnknown>(&result.outcome);
    BOOST_TEST(
      (unknown != nullptr && unknown->cause == UnknownCause::TargetFailed),
      response.status << (response.headers.empty()
                            ? std::string()
                            : response.headers[0].name + ": " +
                                response.headers[0].value));
  }
}

BOOST_AUTO_TEST_CASE(a_valid_answer_of_a_daemon_is_passed_on)
{
  for (const Response& response :
       { Response{ 200, {}, "body" },
         Response{ 599, { { "!#$%&'*+-.^_`|~09azAZ", "\x80\xff\ta b" } }, "" },
         Response{ 204, { { "X", "" } }, "" } }) {
    const AttemptResult result = CallAnsweredWith(response);
    const auto* answer = std::get_if<Answered>(&result.outcome);
    BOOST_TEST((answer != nullptr && answer->response == response));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}
