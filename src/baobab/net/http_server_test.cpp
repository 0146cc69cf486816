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

BOOST_AUTO_TEST_SUITE_END()

}
