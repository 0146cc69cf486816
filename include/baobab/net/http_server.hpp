/// @file
/// HTTP/1.1 server for callers, targets and operators.
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

/// Bytes that a connection without a request holds: its fiber and its buffer.
constexpr std::size_t kConnectionBytes = 16U << 10U;

/// Limits of a connection. The body timeout also applies to writing a response.
struct HttpLimits
{
  std::size_t maxHeaderBytes = 16384;
  Duration headerTimeout = 5s;
  Duration bodyTimeout = 10s;
  Duration idleTimeout = 60s;
};

/// The parts of a request that are known before its body is read.
struct HttpHead
{
  std::string_view method;
  std::string_view target;
  /// Value of the Host header without the port.
  std::string_view host;
};

/// Why a request could not be read.
enum class HttpRequestError : std::uint8_t
{
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
  TimedOut,
  /// The request was complete only after the server had begun to stop.
  Stopping,
  /// The process has no memory left for the body.
  OutOfMemory,
};

/// Notifies a request handler when the caller closes its connection.
class DisconnectNotifier
{
public:
  /// Sets the function to call when the caller disconnects. It is called at
  /// once if that has already happened.
  void OnDisconnect(std::function<void()> aAction)
  {
    this->action = std::move(aAction);
    if (this->disconnected && this->action) {
      this->action();
    }
  }

  /// Records that the caller has disconnected, unless the request is finished.
  void NotifyDisconnect()
  {
    if (this->finished) {
      return;
    }
    this->disconnected = true;
    if (this->action) {
      this->action();
    }
  }

  bool Disconnected() const { return this->disconnected; }

  /// Marks the request as finished; later disconnects are ignored.
  void Finish()
  {
    this->finished = true;
    this->action = nullptr;
  }

  bool Finished() const { return this->finished; }

private:
  bool disconnected = false;
  bool finished = false;
  std::function<void()> action;
};

/// Callbacks of a server. All of them run on a fiber of the connection's
/// thread.
struct HttpHandler
{
  /// Returns the largest accepted body of a request.
  std::function<std::size_t(const HttpHead&)> maxBodyBytes;
  /// Handles a complete request. `Request::service` is empty, and the host is
  /// in the `Host` header.
  std::function<Response(Request&&, DisconnectNotifier&)> handleRequest;
  /// Returns the response to a request that could not be read.
  std::function<Response(HttpRequestError)> handleError;
  /// Returns the limits for the next request. If unset, the server's limits
  /// apply.
  std::function<HttpLimits()> limits = nullptr;
  /// Returns true if a request may run beside others of its connection. If
  /// unset, each one is answered before the next is read.
  std::function<bool(const HttpHead&)> mayOverlap = nullptr;
};

/// Connection counts of a server and its shutdown state.
class HttpServerState
{
public:
  explicit HttpServerState(std::size_t aMaxConnections)
    : maxConnections(aMaxConnections)
  {
  }

  /// Closes idle connections, and the others after their current response.
  void StopKeepAlive() { this->keepAliveStopped = true; }
  bool KeepAliveStopped() const { return this->keepAliveStopped; }

  /// True if a connection has to close before another one is accepted.
  bool Full() const
  {
    return this->openConnections - this->givingWay >= this->maxConnections;
  }
  std::size_t OpenConnections() const { return this->openConnections; }
  /// Number of requests in progress.
  std::size_t ActiveRequests() const { return this->activeRequests; }

  std::size_t openConnections = 0;
  /// Connections accepted since the start.
  std::uint64_t acceptedConnections = 0;
  /// Connections that are being closed to make room.
  std::size_t givingWay = 0;
  /// Connections closed to make room, and not accepted because there was none.
  std::uint64_t gaveWay = 0;
  std::uint64_t refusedConnections = 0;
  std::size_t activeRequests = 0;

private:
  std::size_t maxConnections;
  bool keepAliveStopped = false;
};

/// Serves connections until the acceptor is closed, each on its own fiber.
/// The responses on a connection are sent in the order of their requests.
void ServeHttp(Tcp::acceptor& aAcceptor,
               const HttpLimits& aLimits,
               const HttpHandler& aHandler,
               HttpServerState& aState);

/// Returns the value of the first header with a name; empty if there is none.
std::string_view FindHeader(const std::vector<HeaderField>& aHeaders,
                            std::string_view aName);

/// Returns the value of a Host header without the port.
std::string_view WithoutPort(std::string_view aHost);

/// Returns a response with a text body.
Response TextResponse(unsigned aStatus,
                      std::string aBody,
                      std::string_view aType = "text/plain; charset=utf-8");

}
