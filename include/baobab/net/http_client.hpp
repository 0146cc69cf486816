/// @file
/// HTTP/1.1 client connection.
#pragma once

#include "baobab/core/http_message.hpp"
#include "baobab/core/result.hpp"
#include "baobab/core/time.hpp"
#include "baobab/net/socket.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace baobab {

/// Options of one request.
struct ExchangeOptions
{
  /// Largest response body that is accepted.
  std::size_t maxResponseBytes = 0;
  Duration timeout = Duration::zero();
  /// Returns whether a response belongs to the request; other responses are
  /// discarded. If unset, the first response is returned.
  std::function<bool(const Response&)> matchesRequest = nullptr;
  /// Headers that are sent besides those of the request.
  std::vector<HeaderField> headers{};
};

/// A client connection that carries one request at a time.
class HttpClient
{
public:
  /// Opens a connection. Fails with ConnectFailed or TimedOut.
  static Result<std::unique_ptr<HttpClient>> Open(
    boost::asio::io_context& aContext,
    const Endpoint& aEndpoint,
    Duration aTimeout);

  virtual ~HttpClient() = default;

  /// Sends a request and reads the whole response. Fails with ConnectionLost,
  /// TimedOut, TooLarge, or BadMessage if the response is malformed; the
  /// connection is closed after a failure.
  virtual Result<Response> Exchange(const Request& aRequest,
                                    const ExchangeOptions& aOptions) = 0;

  /// True if the connection can carry another request.
  virtual bool Reusable() = 0;

  /// Time for which the server keeps an idle connection open, from the
  /// `Keep-Alive` header of its last response; Duration::max() if it had none.
  virtual Duration KeepAliveTimeout() const = 0;

  /// True if at least one byte of a response was read in the last exchange.
  virtual bool ResponseStarted() const = 0;

  /// Closes the connection; a pending exchange fails.
  virtual void Close() = 0;
};

}
