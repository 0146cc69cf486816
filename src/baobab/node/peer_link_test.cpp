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

/// A daemon that reports the load of its target, then refuses the call.
void
ReportLoadAndRefuse(Tcp::socket aSocket, const LoadReport& aLoad)
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
      frames->Send(LoadUpdateMessage{ aLoad });
      frames->Send(RefusalMessage{
        call->id, { RefusalReason::Overloaded, "full" }, std::nullopt });
    }
  }
}

}

BOOST_AUTO_TEST_SUITE(peer_link)

/// Guards against a link that ignores load updates. Second attempts for calls
/// on slow hosts were then never sent.
BOOST_AUTO_TEST_CASE(load_reports_are_passed_to_the_listener)
{
  const LoadReport sent{ 3, 1, 18, 700 };
  std::vector<LoadReport> received;
  std::optional<Outcome> outcome;
  OnFiber([&](boost::asio::io_context& aContext) {
    auto acceptor = Listen(aContext, { 0x7f000001, 0 });
    BOOST_TEST(Succeeded(acceptor));
    const Endpoint address{ 0x7f000001,
                            Value(acceptor).local_endpoint().port() };
    boost::fibers::fiber server([&] {
      AcceptConnections(Value(acceptor), [&](Tcp::socket aSocket) {
        Spawn([socket = std::move(aSocket), sent]() mutable {
          ReportLoadAndRefuse(std::move(socket), sent);
        });
      });
    });
    // The link's fibers run until the process ends.
    static const Timeouts timeouts;
    const auto link =
      std::make_shared<PeerLink>(aContext,
                                 address,
                                 LinkIdentity{ 7, "perth", 0 },
                                 timeouts,
                                 [&](const Endpoint&, const LoadReport& aLoad) {
                                   received.push_back(aLoad);
                                 });
    CallTerms terms;
    terms.deadline = Now() + 10s;
    const Request request{ "quoting", "GET", "/", {}, "" };
    outcome = link->Run(request, terms, SendPermit::ForFirstSend()).outcome;
    Value(acceptor).close();
    server.join();
  });
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(std::holds_alternative<NotRun>(*outcome));
  BOOST_REQUIRE(received.size() == 1U);
  BOOST_TEST((received[0] == sent));
}

BOOST_AUTO_TEST_SUITE_END()

}
