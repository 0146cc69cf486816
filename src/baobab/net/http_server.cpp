#include "baobab/net/http_server.hpp"
#include "baobab/core/http_syntax.hpp"
#include "baobab/net/clock.hpp"

#include "baobab/net/accept.hpp"
#include "baobab/net/worker.hpp"
#include "body_reader.hpp"
#include "http_convert.hpp"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/fiber/operations.hpp>
#include <unordered_set>
#include <utility>

namespace baobab {
namespace {

namespace beast = boost::beast;

using Parser = RequestParser;

constexpr std::size_t kReadBytes = 4096;

/// Bytes that are buffered at most: the largest head that can be configured,
/// and as much as is read at once. A chunk extension has no other limit.
constexpr std::size_t kMaxBufferBytes = (1U << 20U) + (128U << 10U);

/// Bytes that are still read from a client after an error response, so that it
/// can read the response before the connection is closed.
constexpr std::size_t kLingerBytes = 1 << 20;
constexpr Duration kLingerTime = 1s;

std::string_view
ToStringView(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

HttpRequestError
RequestErrorOf(const beast::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return HttpRequestError::BodyTooLarge;
  }
  if (aError == http::error::header_limit) {
    return HttpRequestError::HeaderTooLarge;
  }
  return HttpRequestError::Malformed;
}

/// True if a request could not be read because the client has disconnected,
/// and not because the request is invalid or timed out.
bool
IsDisconnect(const beast::error_code& aError)
{
  return aError == http::error::end_of_stream ||
         aError == http::error::partial_message ||
         (aError.category() !=
            http::make_error_code(http::error::bad_method).category() &&
          aError != beast::error::timeout);
}

/// One connection, served on its own fiber.
class Connection
{
public:
  Connection(Tcp::socket aSocket,
             const HttpLimits& aLimits,
             const HttpHandler& aHandler,
             HttpServerState& aState)
    : stream(std::move(aSocket))
    , serverLimits(aLimits)
    , limits(aLimits)
    , handler(aHandler)
    , state(aState)
  {
  }

  void Run()
  {
    while (this->WaitForRequest() && this->ServeRequest()) {
    }
    beast::error_code error;
    this->stream.shutdown(Tcp::socket::shutdown_both, error);
    this->stream.close(error);
  }

  /// Cancels the current operation if its deadline has passed, or if the
  /// connection is idle while the server stops keep-alive.
  void CheckDeadline(TimePoint aNow)
  {
    if (aNow >= this->deadline ||
        (this->idle && this->state.KeepAliveStopped())) {
      this->deadline = TimePoint::max();
      this->timedOut = true;
      this->stream.cancel();
    }
  }

  TimePoint Deadline() const { return this->deadline; }

private:
  void SetDeadline(Duration aTime)
  {
    this->deadline = Now() + aTime;
    this->timedOut = false;
  }

  bool WaitForRequest()
  {
    if (this->state.KeepAliveStopped()) {
      return false;
    }
    this->limits =
      this->handler.limits ? this->handler.limits() : this->serverLimits;
    if (this->buffer.size() > 0) {
      return true;
    }
    this->SetDeadline(this->limits.idleTimeout);
    this->idle = true;
    const IoResult result = Await([&](auto aHandler) {
      this->stream.async_read_some(this->buffer.prepare(kReadBytes), aHandler);
    });
    this->idle = false;
    this->buffer.commit(result.bytes);
    return static_cast<bool>(result);
  }

  bool ServeRequest()
  {
    Parser parser;
    parser.header_limit(
      static_cast<std::uint32_t>(this->limits.maxHeaderBytes));
    parser.body_limit(boost::none);
    this->SetDeadline(this->limits.headerTimeout);
    IoResult result = Await([&](auto aHandler) {
      http::async_read_header(this->stream, this->buffer, parser, aHandler);
    });
    if (!result) {
      return this->RejectRequest(result.error);
    }
    if (!this->PrepareBody(parser)) {
      return false;
    }
    this->SetDeadline(this->limits.bodyTimeout);
    BodyReader body(this->stream,
                    this->buffer,
                    parser,
                    this->maxBodyBytes,
                    this->limits.maxHeaderBytes);
    result = body.Read();
    if (!result) {
      return body.GaveWay() ? this->Refuse(HttpRequestError::OutOfMemory)
                            : this->RejectRequest(result.error);
    }
    this->deadline = TimePoint::max();
    return this->HandleRequest(parser.release(), body.TakeHeld());
  }

  /// Applies the body limit and responds to `Expect: 100-continue`.
  bool PrepareBody(Parser& aParser)
  {
    const auto& head = aParser.get();
    const std::size_t limit = this->handler.maxBodyBytes(
      { ToStringView(head.method_string()),
        ToStringView(head.target()),
        WithoutPort(ToStringView(head[http::field::host])) });
    const auto length = aParser.content_length();
    if (length && *length > limit) {
      this->RejectRequest(http::error::body_limit);
      return false;
    }
    aParser.body_limit(limit);
    this->maxBodyBytes = limit;
    if (!beast::iequals(head[http::field::expect], "100-continue")) {
      return true;
    }
    http::response<http::empty_body> continueResponse{ http::status::continue_,
                                                       head.version() };
    return static_cast<bool>(Await([&](auto aHandler) {
      http::async_write(this->stream, continueResponse, aHandler);
    }));
  }

  bool HandleRequest(http::request<http::string_body> aMessage,
                     HeldMemory aHeld)
  {
    if (this->state.KeepAliveStopped()) {
      return this->Refuse(HttpRequestError::Stopping);
    }
    const bool keepAlive = aMessage.keep_alive();
    const unsigned version = aMessage.version();
    Request request{ "",
                     std::string(ToStringView(aMessage.method_string())),
                     std::string(ToStringView(aMessage.target())),
                     EndToEndHeaders(aMessage),
                     std::move(aMessage.body()),
                     std::move(aHeld) };
    const std::string method = request.method;
    ++this->state.activeRequests;
    const auto notifier = this->WatchForDisconnect();
    Response response =
      this->handler.handleRequest(std::move(request), *notifier);
    notifier->Finish();
    beast::error_code ignored;
    this->stream.cancel(ignored);
    const bool written =
      this->Write(std::move(response),
                  method,
                  version,
                  keepAlive && !this->state.KeepAliveStopped());
    --this->state.activeRequests;
    return written && keepAlive && !this->state.KeepAliveStopped();
  }

  /// Notifies the handler if the caller disconnects during the request.
  std::shared_ptr<DisconnectNotifier> WatchForDisconnect()
  {
    auto notifier = std::make_shared<DisconnectNotifier>();
    this->stream.async_wait(
      Tcp::socket::wait_read, [this, notifier](beast::error_code aError) {
        // Once the request is finished, the connection may be destroyed.
        if (!aError && !notifier->Finished() && IsDisconnected(this->stream)) {
          notifier->NotifyDisconnect();
        }
      });
    return notifier;
  }

  bool Write(Response aResponse,
             std::string_view aMethod,
             unsigned aVersion,
             bool aKeepAlive)
  {
    http::response<http::string_body> message;
    message.version(aVersion);
    message.result(aResponse.status);
    for (const HeaderField& field : aResponse.headers) {
      message.insert(field.name, field.value);
    }
    message.keep_alive(aKeepAlive);
    if (!HasNoBody(aMethod, aResponse.status)) {
      message.body() = std::move(aResponse.body);
      message.content_length(message.body().size());
    } else if (aMethod == "HEAD") {
      message.content_length(aResponse.body.size());
    }
    this->SetDeadline(this->limits.bodyTimeout);
    http::response_serializer<http::string_body> serializer(message);
    const IoResult result = Await([&](auto aHandler) {
      http::async_write(this->stream, serializer, aHandler);
    });
    return static_cast<bool>(result);
  }

  bool RejectRequest(const beast::error_code& aError)
  {
    const bool isTimeout = std::exchange(this->timedOut, false);
    if (!isTimeout && IsDisconnect(aError)) {
      return false;
    }
    return this->Refuse(isTimeout ? HttpRequestError::TimedOut
                                  : RequestErrorOf(aError));
  }

  /// Responds with an error and ends the connection.
  bool Refuse(HttpRequestError aError)
  {
    constexpr unsigned kHttp11 = 11;
    this->Write(this->handler.handleError(aError), "GET", kHttp11, false);
    this->Linger();
    return false;
  }

  /// Discards what the client still sends. Closing the connection with unread
  /// data would reset it before the client has read the response.
  void Linger()
  {
    beast::error_code error;
    this->stream.shutdown(Tcp::socket::shutdown_send, error);
    this->SetDeadline(kLingerTime);
    std::size_t discarded = 0;
    while (discarded < kLingerBytes) {
      this->buffer.clear();
      const IoResult result = Await([&](auto aHandler) {
        this->stream.async_read_some(this->buffer.prepare(kReadBytes),
                                     aHandler);
      });
      if (!result) {
        return;
      }
      discarded += result.bytes;
    }
  }

  Tcp::socket stream;
  beast::flat_buffer buffer{ kMaxBufferBytes };
  const HttpLimits& serverLimits;
  HttpLimits limits;
  /// Largest body of the current request.
  std::size_t maxBodyBytes = 0;
  const HttpHandler& handler;
  HttpServerState& state;
  TimePoint deadline = TimePoint::max();
  bool timedOut = false;
  bool idle = false;
};

/// Open connections of a server, for checking their deadlines.
struct Connections
{
  std::unordered_set<Connection*> open;
  /// True while connections are accepted.
  bool accepting = true;
};

/// Checks the deadlines of all connections until the last one is closed. One
/// timer for all of them is cheaper than one for each request.
void
RunDeadlineChecks(const std::shared_ptr<const Connections>& aConnections)
{
  // A new connection may be checked late by the longest period.
  constexpr Duration kShortestPeriod = 50ms;
  constexpr Duration kLongestPeriod = 200ms;
  while (aConnections->accepting || !aConnections->open.empty()) {
    TimePoint next = TimePoint::max();
    for (const Connection* connection : aConnections->open) {
      next = std::min(next, connection->Deadline());
    }
    const TimePoint before = Now();
    boost::this_fiber::sleep_until(
      std::clamp(next, before + kShortestPeriod, before + kLongestPeriod));
    const TimePoint now = Now();
    std::ranges::for_each(aConnections->open, [&](Connection* aConnection) {
      aConnection->CheckDeadline(now);
    });
  }
}

}

void
ServeHttp(Tcp::acceptor& aAcceptor,
          const HttpLimits& aLimits,
          const HttpHandler& aHandler,
          HttpServerState& aState)
{
  const auto connections = std::make_shared<Connections>();
  // Shared, because the checks may run a little longer than this function.
  Spawn([connections] { RunDeadlineChecks(connections); });
  AcceptConnections(aAcceptor, [&](Tcp::socket aSocket) {
    if (aState.Full()) {
      return;
    }
    beast::error_code error;
    aSocket.set_option(Tcp::no_delay(true), error);
    if (ProcessMemory().Bounds().Bounded()) {
      LimitReceiveBuffer(aSocket);
    }
    HeldMemory held(MemoryPart::Connections);
    held.Account(kConnectionBytes);
    auto connection = std::make_unique<Connection>(
      std::move(aSocket), aLimits, aHandler, aState);
    ++aState.openConnections;
    ++aState.acceptedConnections;
    connections->open.insert(connection.get());
    Spawn([connection = std::move(connection),
           held = std::move(held),
           connections,
           &aState] {
      connection->Run();
      connections->open.erase(connection.get());
      --aState.openConnections;
    });
  });
  connections->accepting = false;
}

std::string_view
FindHeader(const std::vector<HeaderField>& aHeaders, std::string_view aName)
{
  const auto found =
    std::ranges::find_if(aHeaders, [&](const HeaderField& aField) {
      return SameHeaderName(aField.name, aName);
    });
  return found == aHeaders.end() ? std::string_view() : found->value;
}

std::string_view
WithoutPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.find(':'));
}

Response
TextResponse(unsigned aStatus, std::string aBody, std::string_view aType)
{
  return { aStatus,
           { { "Content-Type", std::string(aType) } },
           std::move(aBody) };
}

}
