/// @file
/// HTTP/1.1 connections towards callers, targets and operators.
#pragma once

#include "baobab/core/http_message.hpp"
#include "baobab/core/time.hpp"
#include "baobab/net/socket.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace baobab {

struct HttpLimits
{
  std::size_t maxHeaderBytes = 16384;
  Duration headerTimeout = 5s;
  Duration bodyTimeout = 10s;
  Duration idleTimeout = 60s;
};

/// A request line and its headers, before the body was read.
struct HttpHead
{
  std::string_view method;
  std::string_view target;
  /// Host header without its port.
  std::string_view host;
};

/// Why a request could not be read, as a response.
enum class HttpRequestError : std::uint8_t
{
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  TimedOut,
};

/// Tells a handler that its caller has closed the connection.
class DisconnectNotifier
{
public:
  /// Sets what happens when the caller goes; at once if it has gone already.
  void OnDisconnect(std::function<void()> aAction)
  {
    this->action = std::move(aAction);
    if (this->gone && this->action) {
      this->action();
    }
  }

  /// Records that the caller has gone, unless the request is over.
  void NotifyDisconnect()
  {
    if (this->over) {
      return;
    }
    this->gone = true;
    if (this->action) {
      this->action();
    }
  }

  bool Disconnected() const { return this->gone; }

  /// The request is over; nothing is noted any more.
  void Finish()
  {
    this->over = true;
    this->action = nullptr;
  }

  bool Finished() const { return this->over; }

private:
  bool gone = false;
  bool over = false;
  std::function<void()> action;
};

/// What a server does with requests. All functions run on a fiber of the
/// connection's thread.
struct HttpHandler
{
  /// Returns the largest body accepted for a request.
  std::function<std::size_t(const HttpHead&)> maxBodyBytes;
  /// Answers a whole request. `service` is empty, `Host` is a header.
  std::function<Response(Request&&, DisconnectNotifier&)> handleRequest;
  /// Answers a request that could not be read.
  std::function<Response(HttpRequestError)> handleError;
  /// Returns the limits for the next request; unset: the server's own.
  std::function<HttpLimits()> limits = nullptr;
};

/// Controls the connections of a server.
class HttpServerState
{
public:
  explicit HttpServerState(std::size_t aMostConnections)
    : most(aMostConnections)
  {
  }

  /// Ends keep-alive: idle connections close, the others after their current
  /// answer.
  void StopKeepAlive() { this->closing = true; }
  bool KeepAliveStopped() const { return this->closing; }

  bool Full() const { return this->openConnections >= this->most; }
  std::size_t OpenConnections() const { return this->openConnections; }
  /// Requests that are being answered.
  std::size_t ActiveRequests() const { return this->activeRequests; }

  std::size_t openConnections = 0;
  /// Connections taken since the start.
  std::uint64_t acceptedConnections = 0;
  std::size_t activeRequests = 0;

private:
  std::size_t most;
  bool closing = false;
};

/// Accepts connections until the acceptor closes; one fiber each. Answers on
/// a connection leave in the order of their requests.
void ServeHttp(Tcp::acceptor& aAcceptor,
               const HttpLimits& aLimits,
               const HttpHandler& aHandler,
               HttpServerState& aGate);

/// True if two names mean the same header.
bool SameHeaderName(std::string_view aLeft, std::string_view aRight);

/// Returns the value of a header, or an empty view.
std::string_view FindHeader(const std::vector<HeaderField>& aHeaders,
                            std::string_view aName);

/// Returns a Host header's value without its port.
std::string_view WithoutPort(std::string_view aHost);

/// Returns a response with a text body.
Response TextResponse(unsigned aStatus,
                      std::string aBody,
                      std::string_view aType = "text/plain; charset=utf-8");

}
