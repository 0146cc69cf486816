/// @file
/// A server that answers with given bytes.
#pragma once

#include "baobab/net/accept.hpp"
#include "testing/on_fiber.hpp"

#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace baobab {

/// Answers each request on a connection with given bytes.
struct ScriptedServer
{
  /// Bytes sent after the first, second, ... request of a connection. After the
  /// last one the connection is closed.
  std::vector<std::string> answers;
  std::size_t requests = 0;
  std::string received;
  /// Request at which the server crashes, counted from 1.
  std::optional<std::size_t> crashAt;
  Tcp::acceptor* listener = nullptr;

  explicit ScriptedServer(std::vector<std::string> aAnswers)
    : answers(std::move(aAnswers))
  {
  }

  /// Calls a function on a fiber with the address of this server.
  void Listening(
    const std::function<void(boost::asio::io_context&, const Endpoint&)>& aBody)
  {
    OnFiber([&](boost::asio::io_context& aContext) {
      auto acceptor = Listen(aContext, { 0x7f000001, 0 });
      BOOST_TEST(Succeeded(acceptor));
      const auto port = Value(acceptor).local_endpoint().port();
      this->listener = &Value(acceptor);
      boost::fibers::fiber server([&] {
        AcceptConnections(Value(acceptor), [&](Tcp::socket aSocket) {
          Spawn([this, socket = std::move(aSocket)]() mutable {
            this->Serve(std::move(socket));
          });
        });
      });
      aBody(aContext, { 0x7f000001, port });
      Value(acceptor).close();
      server.join();
      boost::this_fiber::sleep_for(20ms);
    });
  }

private:
  void Serve(Tcp::socket aSocket)
  {
    for (const std::string& answer : std::vector(this->answers)) {
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
      if (this->requests == this->crashAt) {
        this->listener->close();
        return;
      }
      Await([&](auto aDone) {
        boost::asio::async_write(aSocket, boost::asio::buffer(answer), aDone);
      });
    }
  }
};

}
