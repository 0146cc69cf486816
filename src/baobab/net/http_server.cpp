#include "baobab/net/http_server.hpp"

#include "baobab/net/accept.hpp"
#include "baobab/net/worker.hpp"
#include "body_reader.hpp"
#include "http_channel.hpp"
#include "http_convert.hpp"
#include "http_read_error.hpp"
#include "open_connections.hpp"
#include "request_turns.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <utility>

namespace baobab {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

using Parser = RequestParser;

using Ticket = PipelineOrder::Ticket;

/// Connections that may be closing at a time to make room. They are open beside
/// the ones that may be.
constexpr std::size_t kMaxGivingWay = 4;

/// Time for the response to a caller whose connection gives way.
constexpr Duration kGiveWayTime = 100ms;

/// One connection. It is served on one fiber, which reads a request, handles it
/// and writes the response. While a request runs that others may overlap, the
/// next one is read on a further fiber as soon as there is something to read.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(Tcp::socket aSocket,
             const HttpLimits& aLimits,
             const HttpHandler& aHandler,
             HttpServerState& aState,
             ClosingOrder<Connection>& aClosing)
    : channel(std::move(aSocket))
    , serverLimits(aLimits)
    , limits(aLimits)
    , handler(aHandler)
    , state(aState)
    , closing(aClosing)
    , place(aClosing.Add(this))
  {
  }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  ~Connection()
  {
    this->StopGivingWay();
    this->closing.Remove(this->place, this->use);
  }

  /// Starts a fiber that reads the next request.
  void SpawnReader()
  {
    this->order.StartRead();
    Spawn([self = this->shared_from_this()] { self->Run(); });
  }

  /// Cancels the operations whose deadline has passed, and the reading of an
  /// idle connection while the server stops keep-alive.
  void CheckDeadline(TimePoint aNow)
  {
    this->channel.CheckDeadlines(aNow);
    if (this->idle && this->state.KeepAliveStopped()) {
      this->channel.ExpireRead();
    }
    // Unread data hides the end of the connection from everything else.
    if (!this->order.Empty() && !this->order.Withdrawn() && !this->watching &&
        !this->channel.Reading() &&
        CheckInput(this->channel.Stream()) == Input::Ended) {
      this->Leave();
    }
  }

  TimePoint Deadline() const { return this->channel.Deadline(); }

  /// True if nothing has come that was not read yet.
  bool MayGiveWay()
  {
    return CheckInput(this->channel.Stream()) != Input::Data;
  }

  /// Closes the connection to make room, unless a request has come just now.
  void GiveWay()
  {
    this->SetUse(ConnectionUse::Request);
    this->givesWay = true;
    ++this->state.givingWay;
    ++this->state.gaveWay;
    this->channel.ExpireRead();
  }

private:
  void StopGivingWay()
  {
    if (std::exchange(this->givesWay, false)) {
      --this->state.givingWay;
    }
  }

  void SetUse(ConnectionUse aUse)
  {
    this->StopGivingWay();
    this->closing.Move(this->place, this->use, aUse);
    this->use = aUse;
  }

  /// Sets what the connection is used for while its next request is read.
  void SetReadingUse(ConnectionUse aUse)
  {
    this->readingUse = aUse;
    this->SetUse(this->order.Empty() ? aUse : ConnectionUse::Request);
  }

  /// Reads and answers requests until another fiber reads or the connection
  /// ends.
  void Run()
  {
    while (this->ServeRequest() && this->TakeOverReading()) {
    }
    if (this->order.Empty() && !this->order.Reading() && !this->givesWay &&
        (this->refused || this->HasUnread())) {
      this->channel.Linger();
    }
  }

  /// True if the caller has sent more than was read, and has not left.
  bool HasUnread()
  {
    return !this->order.Withdrawn() &&
           (this->channel.Buffer().size() > 0 ||
            CheckInput(this->channel.Stream()) == Input::Data);
  }

  /// Decides whether the fiber that has answered a request reads the next one.
  bool TakeOverReading()
  {
    if (this->state.KeepAliveStopped() || !this->order.MayRead()) {
      return false;
    }
    if (this->order.Empty()) {
      this->StopWatching();
    } else if (this->watching && this->channel.Buffer().size() == 0) {
      return false;
    }
    this->order.StartRead();
    return true;
  }

  bool WaitForRequest()
  {
    if (this->state.KeepAliveStopped()) {
      return false;
    }
    this->limits =
      this->handler.limits ? this->handler.limits() : this->serverLimits;
    if (this->channel.Buffer().size() > 0) {
      return true;
    }
    this->channel.SetReadDeadline(this->limits.idleTimeout);
    this->SetReadingUse(ConnectionUse::Idle);
    this->idle = true;
    const IoResult result = this->channel.ReadSome(this->order.Empty());
    this->idle = false;
    return static_cast<bool>(result) || this->EndReading();
  }

  bool ServeRequest()
  {
    if (!this->WaitForRequest()) {
      this->order.EndRead();
      return false;
    }
    this->SetReadingUse(ConnectionUse::Head);
    Parser parser;
    parser.header_limit(
      static_cast<std::uint32_t>(this->limits.maxHeaderBytes));
    parser.body_limit(boost::none);
    this->channel.SetReadDeadline(this->limits.headerTimeout);
    IoResult result =
      this->channel.Read(this->order.Empty(), [&](auto aHandler) {
        http::async_read_header(
          this->channel.Stream(), this->channel.Buffer(), parser, aHandler);
      });
    if (!result) {
      return this->RejectRequest(result.error);
    }
    this->SetReadingUse(ConnectionUse::Request);
    if (!this->PrepareBody(parser)) {
      return false;
    }
    this->channel.SetReadDeadline(this->limits.bodyTimeout);
    BodyReader body(this->channel,
                    this->order.Empty(),
                    parser,
                    this->maxBodyBytes,
                    this->limits.maxHeaderBytes);
    result = body.Read();
    if (!result) {
      return body.GaveWay() ? this->Refuse(HttpRequestError::OutOfMemory)
                            : this->RejectRequest(result.error);
    }
    this->channel.ClearReadDeadline();
    return this->HandleRequest(parser.release(), body.TakeHeld());
  }

  /// Ends reading after a disconnect or timeout.
  bool EndReading()
  {
    if (!this->channel.TimedOut() && !this->order.Empty()) {
      this->Leave();
    }
    this->order.EndRead();
    return false;
  }

  /// Applies the body limit and responds to `Expect: 100-continue`.
  bool PrepareBody(Parser& aParser)
  {
    const auto& head = aParser.get();
    const std::size_t limit = this->handler.maxBodyBytes(HeadOf(head));
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
    return this->WriteContinue(head.version()) || this->EndReading();
  }

  /// Asks the client for the body, once all requests before are answered.
  bool WriteContinue(unsigned aVersion)
  {
    this->channel.ClearReadDeadline();
    if (!this->turns.AwaitEmpty()) {
      return false;
    }
    const http::response<http::empty_body> message{ http::status::continue_,
                                                    aVersion };
    return static_cast<bool>(
      this->channel.Write(message, this->limits.bodyTimeout));
  }

  /// Returns true if the connection may carry another request.
  bool HandleRequest(http::request<http::string_body> aMessage,
                     HeldMemory aHeld)
  {
    if (this->state.KeepAliveStopped()) {
      return this->Refuse(HttpRequestError::Stopping);
    }
    const bool overlaps =
      this->handler.mayOverlap && this->handler.mayOverlap(HeadOf(aMessage));
    const Ticket ticket = this->order.Admit(
      { overlaps, !aMessage.keep_alive(), aMessage.body().size() });
    ++this->state.activeRequests;
    const bool answered =
      this->turns.AwaitStart(ticket) &&
      this->Answer(ticket, std::move(aMessage), std::move(aHeld));
    --this->state.activeRequests;
    this->turns.Remove(ticket);
    if (this->order.Empty() && this->order.Reading()) {
      this->SetUse(this->readingUse);
    }
    return answered;
  }

  bool Answer(Ticket aTicket,
              http::request<http::string_body> aMessage,
              HeldMemory aHeld)
  {
    const unsigned version = aMessage.version();
    Request request = ToRequest(std::move(aMessage));
    request.held = std::move(aHeld);
    const std::string method = request.method;
    DisconnectNotifier caller;
    this->turns.AddCaller(caller);
    this->ReadOrWatch();
    Response response = this->handler.handleRequest(std::move(request), caller);
    caller.Finish();
    this->turns.RemoveCaller(caller);
    if (this->order.Size() == 1 && !this->order.Reading()) {
      this->StopWatching();
    }
    this->order.SetHeldBytes(aTicket, response.body.size());
    if (!this->turns.AwaitWrite(aTicket)) {
      return false;
    }
    const bool ends =
      this->order.EndsAfter(aTicket, this->state.KeepAliveStopped());
    if (!this->Write(std::move(response), method, version, !ends)) {
      this->order.Break();
      this->Leave();
      return false;
    }
    return !ends;
  }

  /// Reads the next request if a part of it is there and it may be read.
  /// Otherwise waits for it, or for the caller's disconnect.
  void ReadOrWatch()
  {
    if (this->channel.Buffer().size() > 0 && this->order.MayRead() &&
        !this->state.KeepAliveStopped()) {
      this->SpawnReader();
    } else if (!this->watching) {
      this->Watch();
    }
  }

  void Watch()
  {
    this->watching = true;
    this->channel.Stream().async_wait(
      Tcp::socket::wait_read,
      [weak = this->weak_from_this(),
       watch = ++this->watchNumber](beast::error_code aError) {
        const auto self = weak.lock();
        if (!aError && self && self->watching && self->watchNumber == watch) {
          self->watching = false;
          self->HandleInput();
        }
      });
  }

  void StopWatching()
  {
    if (std::exchange(this->watching, false)) {
      beast::error_code ignored;
      this->channel.Stream().cancel(ignored);
    }
  }

  void HandleInput()
  {
    if (this->order.Empty() || this->order.Reading()) {
      return;
    }
    switch (CheckInput(this->channel.Stream())) {
      case Input::None:
        this->Watch();
        break;
      case Input::Ended:
        this->turns.Withdraw();
        this->turns.NotifyCallers();
        break;
      case Input::Data:
        if (this->order.MayRead() && !this->state.KeepAliveStopped()) {
          this->SpawnReader();
        }
        break;
    }
  }

  /// Ends all requests of a caller that has disconnected.
  void Leave()
  {
    this->turns.Withdraw();
    // The notified functions must not suspend the fiber that has found it out.
    asio::post(this->channel.Stream().get_executor(),
               [weak = this->weak_from_this()] {
                 if (const auto self = weak.lock()) {
                   self->turns.NotifyCallers();
                 }
               });
  }

  bool Write(Response aResponse,
             std::string_view aMethod,
             unsigned aVersion,
             bool aKeepAlive)
  {
    const auto message =
      ToMessage(std::move(aResponse), aMethod, aVersion, aKeepAlive);
    return static_cast<bool>(this->channel.Write(
      message, this->givesWay ? kGiveWayTime : this->limits.bodyTimeout));
  }

  bool RejectRequest(const beast::error_code& aError)
  {
    const bool timedOut = this->channel.TimedOut();
    if (!timedOut && IsDisconnect(aError)) {
      return this->EndReading();
    }
    return this->Refuse(timedOut ? HttpRequestError::TimedOut
                                 : RequestErrorOf(aError));
  }

  /// Responds with an error, after all requests before are answered, and ends
  /// the connection.
  bool Refuse(HttpRequestError aError)
  {
    constexpr unsigned kHttp11 = 11;
    this->channel.ClearReadDeadline();
    if (!this->givesWay) {
      this->SetUse(ConnectionUse::Request);
    }
    const Ticket ticket = this->order.Admit({ false, true });
    if (this->turns.AwaitStart(ticket)) {
      this->refused = true;
      this->Write(this->handler.handleError(aError), "GET", kHttp11, false);
    }
    this->turns.Remove(ticket);
    return false;
  }

  HttpChannel channel;
  const HttpLimits& serverLimits;
  HttpLimits limits;
  /// Largest body of the current request.
  std::size_t maxBodyBytes = 0;
  const HttpHandler& handler;
  HttpServerState& state;
  RequestTurns turns;
  PipelineOrder& order = this->turns.Order();
  /// Identifies the last start of Watch.
  std::uint64_t watchNumber = 0;
  /// True while the connection is watched for input.
  bool watching = false;
  bool idle = false;
  ClosingOrder<Connection>& closing;
  ConnectionUse use = ConnectionUse::Request;
  ConnectionUse readingUse = ConnectionUse::Request;
  ClosingOrder<Connection>::Place place;
  /// True while the connection is being closed to make room.
  bool givesWay = false;
  /// True if the connection ends with an error response.
  bool refused = false;
};

/// Makes room for a new connection; returns false if there is none.
bool
MakeRoom(HttpServerState& aState, const ClosingOrder<Connection>& aClosing)
{
  while (aState.Full()) {
    Connection* connection = aState.givingWay < kMaxGivingWay
                               ? aClosing.First([](Connection& aConnection) {
                                   return aConnection.MayGiveWay();
                                 })
                               : nullptr;
    if (connection == nullptr) {
      return false;
    }
    connection->GiveWay();
  }
  return true;
}

}

void
ServeHttp(Tcp::acceptor& aAcceptor,
          const HttpLimits& aLimits,
          const HttpHandler& aHandler,
          HttpServerState& aState)
{
  const auto connections = std::make_shared<OpenConnections<Connection>>();
  // Shared, because the checks may run a little longer than this function.
  Spawn([connections] { RunDeadlineChecks<Connection>(connections); });
  AcceptConnections(aAcceptor, [&](Tcp::socket aSocket) {
    if (!MakeRoom(aState, connections->closing)) {
      ++aState.refusedConnections;
      return;
    }
    beast::error_code error;
    aSocket.set_option(Tcp::no_delay(true), error);
    if (ProcessMemory().Bounds().Bounded()) {
      LimitReceiveBuffer(aSocket);
    }
    HeldMemory held(MemoryPart::Connections);
    held.Account(kConnectionBytes);
    const std::shared_ptr<Connection> connection(
      new Connection(
        std::move(aSocket), aLimits, aHandler, aState, connections->closing),
      [connections, &aState, held = std::move(held)](Connection* aClosed) {
        connections->open.erase(aClosed);
        --aState.openConnections;
        delete aClosed;
      });
    ++aState.openConnections;
    ++aState.acceptedConnections;
    connections->open.insert(connection.get());
    connection->SpawnReader();
  });
  connections->accepting = false;
}

}
