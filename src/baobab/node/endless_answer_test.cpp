#include "baobab/node/target_client.hpp"

#include "baobab/net/accept.hpp"
#include "baobab/net/clock.hpp"
#include "testing/on_fiber.hpp"

#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace baobab {
namespace {

constexpr std::size_t kAnswerLimit = 1U << 20U;

/// The limit on an answer, and what the sockets of both sides hold.
constexpr std::size_t kMostBytesRead = kAnswerLimit + (16U << 20U);

constexpr Duration kDeadline = 1s;

/// A target that answers with bytes that never end, until its caller closes the
/// connection.
struct EndlessTarget
{
  /// First bytes of each answer.
  std::string start;
  /// Bytes that follow again and again.
  std::string repeated;
  /// Pause before each repetition.
  Duration pause = Duration::zero();
  std::size_t sentBytes = 0;
  std::size_t connections = 0;
  std::size_t closedConnections = 0;

  void Serve(Tcp::socket aSocket)
  {
    ++this->connections;
    char request[4096];
    Await([&](auto aDone) {
      aSocket.async_read_some(boost::asio::buffer(request), aDone);
    });
    std::string bytes = this->start;
    while (true) {
      const IoResult sent = Await([&](auto aDone) {
        boost::asio::async_write(aSocket, boost::asio::buffer(bytes), aDone);
      });
      this->sentBytes += sent.bytes;
      if (!sent) {
        ++this->closedConnections;
        return;
      }
      bytes = this->repeated;
      boost::this_fiber::sleep_for(this->pause);
    }
  }

  /// Sends two calls to this target and checks how they end.
  void CheckCalls()
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
      Settings settings;
      settings.headers.requestId = "Request-Id";
      settings.headers.stamp = "Stamp";
      {
        TargetClient client(aContext, settings);
        client.SetTarget(
          { 0x7f000001, Value(acceptor).local_endpoint().port() }, "i-1");
        this->CheckCall(client, "r1");
        this->CheckCall(client, "r2");
      }
      Value(acceptor).close();
      server.join();
      while (this->closedConnections < this->connections) {
        boost::this_fiber::sleep_for(10ms);
      }
    });
    // A connection with such an answer is never used again.
    BOOST_TEST(this->connections == 2U);
    BOOST_TEST(this->sentBytes <= 2 * kMostBytesRead);
  }

private:
  static void CheckCall(TargetClient& aClient, const std::string& aId)
  {
    Request request{ "quoting", "POST", "/", {}, "order" };
    request.headers.push_back({ "Request-Id", aId });
    TargetCallControl control;
    const TimePoint startedAt = Now();
    const TargetResult result = aClient.Run(
      { { 1, 1 }, request, false, startedAt + kDeadline, kAnswerLimit },
      control,
      SendPermit::ForFirstSend(),
      [] { return std::nullopt; });
    BOOST_TEST(std::holds_alternative<OutcomeUnknown>(result.outcome));
    BOOST_TEST((Now() - startedAt < 2 * kDeadline));
  }
};

const std::string kFraming = "HTTP/1.1 200 OK\r\nStamp: s\r\n";

void
CheckEndless(const std::string& aStart, const std::string& aRepeated)
{
  EndlessTarget fast{ aStart, aRepeated };
  fast.CheckCalls();
  EndlessTarget slow{ aStart, aRepeated.substr(0, 1), 5ms };
  slow.CheckCalls();
}

}

/// Targets in trouble may send bytes without end. The call must end in its time
/// with a truthful outcome, memory must stay bounded, and the connection must
/// be closed.
BOOST_AUTO_TEST_SUITE(endless_answer)

BOOST_AUTO_TEST_CASE(a_head_without_end)
{
  CheckEndless("HTTP/1.1 200 OK\r\n", "X-Header: value\r\n");
}

BOOST_AUTO_TEST_CASE(a_header_line_without_end)
{
  CheckEndless("HTTP/1.1 200 OK\r\nX-Header: ", std::string(1000, 'x'));
}

BOOST_AUTO_TEST_CASE(a_body_without_length_and_end)
{
  CheckEndless(kFraming + "Request-Id: r1\r\n\r\n", std::string(1000, 'x'));
}

BOOST_AUTO_TEST_CASE(a_chunked_body_without_end)
{
  CheckEndless(kFraming + "Transfer-Encoding: chunked\r\n\r\n",
               "5\r\nhello\r\n");
}

BOOST_AUTO_TEST_CASE(a_chunk_extension_without_end)
{
  CheckEndless(kFraming + "Transfer-Encoding: chunked\r\n\r\n5;",
               std::string(1000, 'x'));
}

// The last chunk comes with some bytes of the trailer, because Boost 1.81
// asserts in debug builds if it is read alone.
BOOST_AUTO_TEST_CASE(a_trailer_without_end)
{
  CheckEndless(kFraming + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-",
               "Trailer: value\r\nX-");
}

BOOST_AUTO_TEST_CASE(interim_responses_without_end)
{
  CheckEndless("", "HTTP/1.1 100 Continue\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_answer)
{
  CheckEndless("", std::string(1000, '\0'));
}

BOOST_AUTO_TEST_SUITE_END()

}
