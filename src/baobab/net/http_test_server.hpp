/// @file
/// An HTTP server for tests, and functions of its caller.
#pragma once

#include "baobab/net/http_server.hpp"
#include "testing/on_fiber.hpp"

#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace baobab {

/// A server with a handler that the test can replace.
struct TestServer
{
  HttpHandler handler{
    [](const HttpHead&) { return std::size_t{ 1024 }; },
    [](Request&&, DisconnectNotifier&) { return TextResponse(200, "ok"); },
    [](HttpRequestError) { return TextResponse(400, "error"); },
  };
  HttpLimits limits;
  HttpServerState state{ 16 };

  void Run(const std::function<void(Tcp::socket&)>& aCaller)
  {
    OnFiber([&](boost::asio::io_context& aContext) {
      auto acceptor = Listen(aContext, { 0x7f000001, 0 });
      BOOST_TEST(Succeeded(acceptor));
      const Endpoint address{ 0x7f000001,
                              Value(acceptor).local_endpoint().port() };
      boost::fibers::fiber server([&] {
        ServeHttp(Value(acceptor), this->limits, this->handler, this->state);
      });
      auto caller = Connect(aContext, address, 1s);
      BOOST_TEST(Succeeded(caller));
      aCaller(Value(caller));
      boost::system::error_code ignored;
      Value(caller).close(ignored);
      Value(acceptor).close();
      server.join();
      while (this->state.OpenConnections() > 0) {
        boost::this_fiber::sleep_for(1ms);
      }
    });
  }
};

inline void
SendText(Tcp::socket& aSocket, const std::string& aText)
{
  Await([&](auto aHandler) {
    boost::asio::async_write(aSocket, boost::asio::buffer(aText), aHandler);
  });
}

/// Reads until the other end closes the connection.
/// @param aEnd receives how the connection ended, if set
inline std::string
ReadAll(Tcp::socket& aSocket, boost::system::error_code* aEnd = nullptr)
{
  std::string text;
  char bytes[4096];
  while (true) {
    const IoResult read = Await([&](auto aHandler) {
      aSocket.async_read_some(boost::asio::buffer(bytes), aHandler);
    });
    if (!read) {
      if (aEnd != nullptr) {
        *aEnd = read.error;
      }
      return text;
    }
    text.append(bytes, read.bytes);
  }
}

}
