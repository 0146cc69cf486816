#include "baobab/net/http_server.hpp"

#include "baobab/net/clock.hpp"
#include "baobab/net/fiber_event.hpp"
#include "http_test_server.hpp"

namespace baobab {

BOOST_AUTO_TEST_SUITE(http_server)

BOOST_AUTO_TEST_CASE(handler_is_notified_when_the_caller_disconnects)
{
  TestServer server;
  FiberEvent disconnected;
  bool notified = false;
  server.handler.handleRequest = [&](Request&&, DisconnectNotifier& aNotifier) {
    aNotifier.OnDisconnect([&] { disconnected.Notify(); });
    notified = disconnected.WaitUntil(Now() + 5s) && aNotifier.Disconnected();
    return TextResponse(200, "too late");
  };
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    boost::this_fiber::sleep_for(20ms);
    aCaller.close();
    while (server.state.ActiveRequests() > 0) {
      boost::this_fiber::sleep_for(1ms);
    }
  });
  BOOST_TEST(notified);
}

BOOST_AUTO_TEST_CASE(slow_request_gets_an_error_response)
{
  TestServer server;
  server.limits.headerTimeout = 100ms;
  std::optional<HttpRequestError> error;
  server.handler.handleError = [&](HttpRequestError aError) {
    error = aError;
    return TextResponse(408, "slow");
  };
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, "GET / HTTP/1.1\r\nHo");
    BOOST_TEST(ReadAll(aCaller).starts_with("HTTP/1.1 408"));
  });
  BOOST_TEST((error == HttpRequestError::TimedOut));
}

/// A request that was read still gets its response after keep-alive is stopped.
BOOST_AUTO_TEST_CASE(shutdown_completes_requests_in_progress)
{
  TestServer server;
  server.handler.handleRequest = [&](Request&&, DisconnectNotifier&) {
    server.state.StopKeepAlive();
    return TextResponse(200, "whole");
  };
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string answer = ReadAll(aCaller);
    BOOST_TEST(answer.ends_with("whole"));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
  });
}

/// Guards against requests that are taken late in a shutdown and cut off by its
/// end.
BOOST_AUTO_TEST_CASE(a_request_that_is_complete_only_during_shutdown_is_refused)
{
  TestServer server;
  bool handled = false;
  server.handler.handleRequest = [&](Request&&, DisconnectNotifier&) {
    handled = true;
    return TextResponse(200, "ok");
  };
  std::optional<HttpRequestError> error;
  server.handler.handleError = [&](HttpRequestError aError) {
    error = aError;
    return TextResponse(503, "stopping");
  };
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller,
             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    boost::this_fiber::sleep_for(50ms);
    server.state.StopKeepAlive();
    SendText(aCaller, "cd");
    const std::string answer = ReadAll(aCaller);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
  });
  BOOST_TEST(!handled);
  BOOST_TEST((error == HttpRequestError::Stopping));
}

BOOST_AUTO_TEST_CASE(too_large_body_is_rejected_before_it_is_read)
{
  TestServer server;
  std::optional<HttpRequestError> error;
  server.handler.handleError = [&](HttpRequestError aError) {
    error = aError;
    return TextResponse(413, "large");
  };
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller,
             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n");
    BOOST_TEST(ReadAll(aCaller).starts_with("HTTP/1.1 413"));
  });
  BOOST_TEST((error == HttpRequestError::BodyTooLarge));
}

/// A caller that never ends a request must not take the memory of the daemon.
BOOST_AUTO_TEST_CASE(requests_without_end_are_rejected_and_closed)
{
  const std::string chunked =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> requests[] = {
    { "GET / HTTP/1.1\r\nHost: h\r\n", "X-Header: value\r\n" },
    { "GET / HTTP/1.1\r\nX-Header: ", std::string(1000, 'x') },
    { chunked, "5\r\nhello\r\n" },
    { chunked + "5;", std::string(1000, 'x') },
    // Boost 1.81 asserts in debug builds if the last chunk is read alone.
    { chunked + "0\r\nX-", "Trailer: value\r\nX-" },
    { "", std::string(1000, '\1') },
  };
  for (const auto& [start, repeated] : requests) {
    TestServer server;
    server.limits.headerTimeout = 1s;
    server.limits.bodyTimeout = 1s;
    std::size_t sent = 0;
    server.Run([&](Tcp::socket& aCaller) {
      std::string bytes = start;
      while (true) {
        const IoResult written = Await([&](auto aHandler) {
          boost::asio::async_write(
            aCaller, boost::asio::buffer(bytes), aHandler);
        });
        if (!written) {
          break;
        }
        sent += written.bytes;
        bytes = repeated;
      }
    });
    // What the server buffers, and what the sockets of both sides hold.
    BOOST_TEST(sent < (32U << 20U), repeated.substr(0, 10));
  }
}

/// Bounds of the process's ledger for the time of a test.
struct BoundedMemory
{
  explicit BoundedMemory(std::int64_t aRequestBytes)
  {
    MemoryBounds bounds;
    bounds.parts[static_cast<std::size_t>(MemoryPart::Requests)] =
      aRequestBytes;
    bounds.total = 1 << 30;
    bounds.reserve = 1 << 17;
    ProcessMemory().SetBounds(bounds);
  }
  BoundedMemory(const BoundedMemory&) = delete;
  BoundedMemory& operator=(const BoundedMemory&) = delete;
  ~BoundedMemory() { ProcessMemory().SetBounds({}); }
};

BOOST_AUTO_TEST_CASE(a_body_without_memory_is_refused_and_holds_none)
{
  const BoundedMemory bounded(1 << 18);
  TestServer server;
  server.handler.maxBodyBytes = [](const HttpHead&) {
    return std::size_t{ 1 } << 24U;
  };
  server.handler.handleError = [](HttpRequestError aError) {
    return TextResponse(aError == HttpRequestError::OutOfMemory ? 503 : 400,
                        "error");
  };
  server.Run([](Tcp::socket& aCaller) {
    SendText(aCaller,
             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" +
               std::string(900000, 'x'));
    BOOST_TEST(ReadAll(aCaller).starts_with("HTTP/1.1 503 "));
    BOOST_TEST(ProcessMemory().Held(MemoryPart::Requests) == 0);
  });
}

BOOST_AUTO_TEST_CASE(a_small_body_uses_the_reserve)
{
  const BoundedMemory bounded(0);
  TestServer server;
  server.handler.handleRequest = [](Request&& aRequest, DisconnectNotifier&) {
    BOOST_TEST(aRequest.held.Bytes() == aRequest.body.size());
    return TextResponse(200, aRequest.body);
  };
  server.Run([](Tcp::socket& aCaller) {
    SendText(aCaller,
             "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
             "Content-Length: 4\r\n\r\nab");
    boost::this_fiber::sleep_for(5ms);
    SendText(aCaller, "cd");
    BOOST_TEST(ReadAll(aCaller).ends_with("abcd"));
  });
}

BOOST_AUTO_TEST_CASE(an_endless_chunk_extension_is_refused)
{
  TestServer server;
  server.handler.maxBodyBytes = [](const HttpHead&) {
    return std::size_t{ 1 } << 24U;
  };
  server.Run([](Tcp::socket& aCaller) {
    SendText(aCaller,
             "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
             "1;a=" +
               std::string(400000, 'x'));
    BOOST_TEST(ReadAll(aCaller).starts_with("HTTP/1.1 400 "));
  });
}

/// Opens a further connection to the server of another one.
Tcp::socket
ConnectBeside(Tcp::socket& aCaller)
{
  auto& context =
    static_cast<boost::asio::io_context&>(aCaller.get_executor().context());
  const auto server = aCaller.remote_endpoint();
  auto connected =
    Connect(context, { server.address().to_v4().to_uint(), server.port() }, 1s);
  BOOST_TEST(Succeeded(connected));
  return std::move(Value(connected));
}

std::string
ServedRequest()
{
  return "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
}

/// Sends a request and reads the start of its response.
void
BeServed(Tcp::socket& aCaller)
{
  SendText(aCaller, ServedRequest());
  char bytes[4096];
  const IoResult read = Await([&](auto aHandler) {
    aCaller.async_read_some(boost::asio::buffer(bytes), aHandler);
  });
  BOOST_TEST(static_cast<bool>(read));
  BOOST_TEST(std::string_view(bytes, read.bytes).starts_with("HTTP/1.1 200 "));
}

/// Sends the last request of a connection, and returns what comes back.
std::string
LastAnswer(Tcp::socket& aCaller)
{
  SendText(aCaller, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  return ReadAll(aCaller);
}

BOOST_AUTO_TEST_CASE(below_the_limit_no_connection_is_closed)
{
  TestServer server;
  server.state = HttpServerState(2);
  server.Run([&](Tcp::socket& aCaller) {
    BeServed(aCaller);
    Tcp::socket other = ConnectBeside(aCaller);
    BeServed(other);
    BeServed(aCaller);
    BOOST_TEST(LastAnswer(other).starts_with("HTTP/1.1 200 "));
    BeServed(aCaller);
    BOOST_TEST(server.state.gaveWay == 0U);
    BOOST_TEST(server.state.refusedConnections == 0U);
  });
}

BOOST_AUTO_TEST_CASE(the_longest_idle_connection_makes_room)
{
  TestServer server;
  server.state = HttpServerState(2);
  server.Run([&](Tcp::socket& aCaller) {
    BeServed(aCaller);
    Tcp::socket other = ConnectBeside(aCaller);
    BeServed(other);
    BeServed(aCaller);
    Tcp::socket next = ConnectBeside(aCaller);
    BeServed(next);
    BOOST_TEST(ReadAll(other).empty());
    BeServed(aCaller);
    BOOST_TEST(server.state.gaveWay == 1U);
    BOOST_TEST(server.state.givingWay == 0U);
    BOOST_TEST(server.state.OpenConnections() == 2U);
  });
}

BOOST_AUTO_TEST_CASE(a_slow_head_makes_room_and_is_answered)
{
  TestServer server;
  server.state = HttpServerState(1);
  server.Run([&](Tcp::socket& aCaller) {
    SendText(aCaller, "GET / HT");
    boost::this_fiber::sleep_for(20ms);
    Tcp::socket next = ConnectBeside(aCaller);
    BOOST_TEST(LastAnswer(next).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(ReadAll(aCaller).starts_with("HTTP/1.1 400 "));
    BOOST_TEST(server.state.givingWay == 0U);
  });
}

BOOST_AUTO_TEST_CASE(a_connection_with_a_request_makes_no_room)
{
  TestServer server;
  server.state = HttpServerState(1);
  FiberEvent answer;
  bool first = true;
  server.handler.handleRequest = [&](Request&&, DisconnectNotifier&) {
    BOOST_TEST((!std::exchange(first, false) || answer.WaitUntil(Now() + 5s)));
    return TextResponse(200, "ok");
  };
  server.Run([&](Tcp::socket& aCaller) {
    // Half of a next head doesn't make it one that may be closed.
    SendText(aCaller, ServedRequest() + "GET / HT");
    while (server.state.ActiveRequests() == 0) {
      boost::this_fiber::sleep_for(1ms);
    }
    Tcp::socket next = ConnectBeside(aCaller);
    BOOST_TEST(ReadAll(next).empty());
    BOOST_TEST(server.state.refusedConnections == 1U);
    answer.Notify();
    SendText(aCaller, "TP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    BOOST_TEST(ReadAll(aCaller).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(server.state.gaveWay == 0U);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}
