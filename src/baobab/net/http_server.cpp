#include "baobab/net/http_server.hpp"
#include "baobab/net/clock.hpp"

#include "baobab/net/accept.hpp"
#include "baobab/net/worker.hpp"
#include "http_convert.hpp"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/fiber/operations.hpp>
#include <cctype>
#include <unordered_set>
#include <utility>

namespace baobab {
namespace {

namespace beast = boost::beast;

using Parser = http::request_parser<http::string_body>;

constexpr std::size_t kReadBytes = 4096;

/// Bytes that a client may still send after a refusal, so that it can read
/// the refusal before the connection closes.
constexpr std::size_t kLingerBytes = 1 << 20;
constexpr Duration kLingerTime = 1s;

std::string_view
View(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

HttpRequestError
FaultOf(const beast::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return HttpRequestError::BodyTooLarge;
  }
  if (aError == http::error::header_limit) {
    return HttpRequestError::HeaderTooLarge;
  }
  return HttpRequestError::Malformed;
}

/// True if the client is gone rather than wrong.
bool
IsGone(const beast::error_code& aError)
{
  return aError == http::error::end_of_stream ||
         aError == http::error::partial_message ||
         (aError.category() !=
            http::make_error_code(http::error::bad_method).category() &&
          aError != beast::error::timeout);
}

/// One connection and its fiber.
class Connection
{
public:
  Connection(Tcp::socket aSocket,
             const HttpLimits& aLimits,
             const HttpHandler& aHandler,
             HttpServerState& aGate)
    : stream(std::move(aSocket))
    , serverLimits(aLimits)
    , limits(aLimits)
    , handler(aHandler)
    , gate(aGate)
  {
  }

  void Run()
  {
    while (this->WaitForRequest() && this->ServeOne()) {
    }
    beast::error_code error;
    this->stream.shutdown(Tcp::socket::shutdown_both, error);
    this->stream.close(error);
  }

  /// Ends the current operation if its time is over, or if the connection
  /// waits for a request that would not be answered any more.
  void CheckLimit(TimePoint aNow)
  {
    if (aNow >= this->limit || (this->idle && this->gate.KeepAliveStopped())) {
      this->limit = TimePoint::max();
      this->expired = true;
      this->stream.cancel();
    }
  }

private:
  void LimitTo(Duration aTime)
  {
    this->limit = Now() + aTime;
    this->expired = false;
  }

  bool WaitForRequest()
  {
    if (this->gate.KeepAliveStopped()) {
      return false;
    }
    this->limits =
      this->handler.limits ? this->handler.limits() : this->serverLimits;
    if (this->buffer.size() > 0) {
      return true;
    }
    this->LimitTo(this->limits.idleTimeout);
    this->idle = true;
    const IoResult result = Await([&](auto aHandler) {
      this->stream.async_read_some(this->buffer.prepare(kReadBytes), aHandler);
    });
    this->idle = false;
    this->buffer.commit(result.bytes);
    return static_cast<bool>(result);
  }

  bool ServeOne()
  {
    Parser parser;
    parser.header_limit(
      static_cast<std::uint32_t>(this->limits.maxHeaderBytes));
    parser.body_limit(boost::none);
    this->LimitTo(this->limits.headerTimeout);
    IoResult result = Await([&](auto aHandler) {
      http::async_read_header(this->stream, this->buffer, parser, aHandler);
    });
    if (!result) {
      return this->Refuse(result.error);
    }
    if (!this->PrepareBody(parser)) {
      return false;
    }
    this->LimitTo(this->limits.bodyTimeout);
    if (!parser.is_done()) {
      result = Await([&](auto aHandler) {
        http::async_read(this->stream, this->buffer, parser, aHandler);
      });
      if (!result) {
        return this->Refuse(result.error);
      }
    }
    this->limit = TimePoint::max();
    return this->Answer(parser.release());
  }

  /// Applies the body limit and answers `Expect: 100-continue`.
  bool PrepareBody(Parser& aParser)
  {
    const auto& head = aParser.get();
    const std::size_t limit = this->handler.maxBodyBytes(
      { View(head.method_string()),
        View(head.target()),
        WithoutPort(View(head[http::field::host])) });
    const auto length = aParser.content_length();
    if (length && *length > limit) {
      this->Refuse(http::error::body_limit);
      return false;
    }
    aParser.body_limit(limit);
    if (!beast::iequals(head[http::field::expect], "100-continue")) {
      return true;
    }
    http::response<http::empty_body> proceed{ http::status::continue_,
                                              head.version() };
    return static_cast<bool>(Await([&](auto aHandler) {
      http::async_write(this->stream, proceed, aHandler);
    }));
  }

  bool Answer(http::request<http::string_body> aMessage)
  {
    const bool keepAlive = aMessage.keep_alive();
    const unsigned version = aMessage.version();
    Request request{ "",
                     std::string(View(aMessage.method_string())),
                     std::string(View(aMessage.target())),
                     EndToEndHeaders(aMessage),
                     std::move(aMessage.body()) };
    const std::string method = request.method;
    ++this->gate.activeRequests;
    const auto watch = this->WatchCaller();
    Response response = this->handler.handleRequest(std::move(request), *watch);
    watch->Finish();
    beast::error_code ignored;
    this->stream.cancel(ignored);
    const bool written =
      this->Write(std::move(response),
                  method,
                  version,
                  keepAlive && !this->gate.KeepAliveStopped());
    --this->gate.activeRequests;
    return written && keepAlive && !this->gate.KeepAliveStopped();
  }

  /// Notices when the caller closes its connection during a request.
  std::shared_ptr<DisconnectNotifier> WatchCaller()
  {
    auto watch = std::make_shared<DisconnectNotifier>();
    this->stream.async_wait(
      Tcp::socket::wait_read, [this, watch](beast::error_code aError) {
        // After the end of the request the connection may not exist any more.
        if (!aError && !watch->Finished() && IsDisconnected(this->stream)) {
          watch->NotifyDisconnect();
        }
      });
    return watch;
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
    this->LimitTo(this->limits.bodyTimeout);
    http::response_serializer<http::string_body> serializer(message);
    const IoResult result = Await([&](auto aHandler) {
      http::async_write(this->stream, serializer, aHandler);
    });
    return static_cast<bool>(result);
  }

  bool Refuse(const beast::error_code& aError)
  {
    const bool slow = std::exchange(this->expired, false);
    if (!slow && IsGone(aError)) {
      return false;
    }
    constexpr unsigned kHttp11 = 11;
    const HttpRequestError fault =
      slow ? HttpRequestError::TimedOut : FaultOf(aError);
    this->Write(this->handler.handleError(fault), "GET", kHttp11, false);
    this->Linger();
    return false;
  }

  /// Discards what the client still sends; closing at once would reset the
  /// connection before the client has read the refusal.
  void Linger()
  {
    beast::error_code error;
    this->stream.shutdown(Tcp::socket::shutdown_send, error);
    this->LimitTo(kLingerTime);
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
  beast::flat_buffer buffer;
  const HttpLimits& serverLimits;
  HttpLimits limits;
  const HttpHandler& handler;
  HttpServerState& gate;
  TimePoint limit = TimePoint::max();
  bool expired = false;
  bool idle = false;
};

/// Connections of one server, for the checks of their time limits.
struct Connections
{
  std::unordered_set<Connection*> open;
  /// True while more may come.
  bool accepting = true;
};

/// Checks the time limits of all connections until the server ends. One
/// timer for all is cheaper than one for each request.
void
RunLimitChecks(const std::shared_ptr<const Connections>& aConnections)
{
  constexpr Duration kPeriod = 50ms;
  while (aConnections->accepting || !aConnections->open.empty()) {
    boost::this_fiber::sleep_for(kPeriod);
    const TimePoint now = Now();
    std::ranges::for_each(aConnections->open, [&](Connection* aConnection) {
      aConnection->CheckLimit(now);
    });
  }
}

}

void
ServeHttp(Tcp::acceptor& aAcceptor,
          const HttpLimits& aLimits,
          const HttpHandler& aHandler,
          HttpServerState& aGate)
{
  const auto connections = std::make_shared<Connections>();
  // These checks go on for a moment after the acceptor is gone.
  Spawn([connections] { RunLimitChecks(connections); });
  AcceptConnections(aAcceptor, [&](Tcp::socket aSocket) {
    if (aGate.Full()) {
      return;
    }
    beast::error_code error;
    aSocket.set_option(Tcp::no_delay(true), error);
    auto connection = std::make_unique<Connection>(
      std::move(aSocket), aLimits, aHandler, aGate);
    ++aGate.openConnections;
    ++aGate.acceptedConnections;
    connections->open.insert(connection.get());
    Spawn([connection = std::move(connection), connections, &aGate] {
      connection->Run();
      connections->open.erase(connection.get());
      --aGate.openConnections;
    });
  });
  connections->accepting = false;
}

bool
SameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, {}, ::tolower, ::tolower);
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
