/// @file
/// One HTTP/1.1 connection as a client.
#pragma once

#include "baobab/core/http_message.hpp"
#include "baobab/core/result.hpp"
#include "baobab/core/time.hpp"
#include "baobab/net/socket.hpp"

#include <functional>
#include <memory>

namespace baobab {

/// How an exchange is made.
struct ExchangeOptions
{
  /// Largest body accepted.
  std::size_t maxResponseBytes = 0;
  Duration timeout = Duration::zero();
  /// Tells whether an answer belongs to the request; others are discarded.
  /// Unset: the first one does.
  std::function<bool(const Response&)> matchesRequest = nullptr;
};

/// A connection that carries one request at a time.
class HttpClient
{
public:
  /// Opens a connection. Fails with ConnectFailed or TimedOut.
  static Result<std::unique_ptr<HttpClient>> Open(
    boost::asio::io_context& aContext,
    const Endpoint& aEndpoint,
    Duration aTimeout);

  virtual ~HttpClient() = default;

  /// Sends a request and reads the whole answer. Fails with ConnectionLost,
  /// TimedOut or TooLarge; after a failure the connection is closed.
  virtual Result<Response> Exchange(const Request& aRequest,
                                    const ExchangeOptions& aOptions) = 0;

  /// True if the connection can carry another request.
  virtual bool Reusable() = 0;

  /// Time that the other end keeps the connection without a request, as it
  /// said last; Duration::max() if it did not.
  virtual Duration KeepAliveTimeout() const = 0;

  /// True if a byte of an answer was read in the last exchange.
  virtual bool ResponseStarted() const = 0;

  /// Closes the connection; a waiting exchange fails.
  virtual void Close() = 0;
};

}
