/// @file
/// TCP and UDP proxy that injects faults between daemons: delay, limited
/// bandwidth, resets, open connections that stop delivering while new ones
/// work, and traffic dropped by source address.
#include "baobab/net/accept.hpp"
#include "standin.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <set>

DEFINE_string(listen, "127.0.0.1:7101", "address that clients connect to");
DEFINE_string(to, "127.0.0.1:7100", "address that traffic is forwarded to");
DEFINE_string(control, "127.0.0.1:7102", "address of the fault control API");

namespace baobab {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// Active faults, set by POST /faults. JSON members that are absent keep their
/// values.
struct Faults
{
  /// Delay added to each piece of a TCP stream and to each datagram.
  std::int64_t delayMs = 0;
  /// Bytes per second in each direction of a connection; 0 means no limit.
  std::int64_t bytesPerSecond = 0;
  /// IP addresses of the sources whose traffic is silently dropped.
  std::set<std::string> cutFrom;
};

/// A client's connection and its counterpart to the server. A silenced
/// direction stays silent until the connection ends.
struct ProxiedConnection
{
  explicit ProxiedConnection(asio::io_context& aContext)
    : client(aContext)
    , server(aContext)
  {
  }

  Tcp::socket client;
  Tcp::socket server;
  std::string source;
  bool silentToServer = false;
  bool silentToClient = false;
};

class Proxy
{
public:
  explicit Proxy(asio::io_context& aContext)
    : context(aContext)
    , listen(RequireEndpoint(FLAGS_listen))
    , target(RequireEndpoint(FLAGS_to))
    , datagrams(aContext, ToUdp(listen))
  {
  }

  void AcceptForever()
  {
    auto acceptor = Listen(this->context, this->listen);
    if (!Succeeded(acceptor)) {
      ExitWithError(Failure(acceptor));
    }
    AcceptConnections(Value(acceptor), [this](Tcp::socket aSocket) {
      auto connection = std::make_shared<ProxiedConnection>(this->context);
      connection->client = std::move(aSocket);
      Spawn([this, connection] { this->HandleConnection(connection); });
    });
  }

  void RelayDatagramsForever()
  {
    std::array<char, 2048> buffer{};
    while (true) {
      Udp::endpoint from;
      const IoResult received = Await([&](auto aDone) {
        this->datagrams.async_receive_from(asio::buffer(buffer), from, aDone);
      });
      if (received && !this->IsCut(from.address().to_string())) {
        this->Forward(from, std::string(buffer.data(), received.bytes));
      }
    }
  }

  Response HandleControl(const Request& aRequest)
  {
    if (aRequest.target == "/stats") {
      return TextResponse(200, std::to_string(this->connections.size()) + "\n");
    }
    boost::system::error_code error;
    const auto parsed = json::parse(aRequest.body, error);
    if (error || !parsed.is_object()) {
      return TextResponse(400, "the request body must be a JSON object\n");
    }
    this->Apply(parsed.as_object());
    return TextResponse(200, "ok\n");
  }

private:
  /// Forwards a datagram from the address that clients connect to. The
  /// receiver replies to the endpoint that the message names as its sender, so
  /// the reply does not pass through this proxy.
  void Forward(const Udp::endpoint& aFrom, std::string aBytes)
  {
    Spawn([this, aFrom, bytes = std::move(aBytes)] {
      if (this->faults.delayMs > 0) {
        boost::this_fiber::sleep_for(Millis(this->faults.delayMs));
      }
      boost::system::error_code error;
      this->datagrams.send_to(
        asio::buffer(bytes), ToUdp(this->target), 0, error);
    });
  }

  bool IsCut(const std::string& aSource) const
  {
    return this->faults.cutFrom.contains(aSource);
  }

  void HandleConnection(const std::shared_ptr<ProxiedConnection>& aConnection)
  {
    boost::system::error_code error;
    aConnection->source =
      aConnection->client.remote_endpoint(error).address().to_string();
    auto server = Connect(this->context, this->target, 1s);
    if (!Succeeded(server)) {
      aConnection->client.close(error);
      return;
    }
    aConnection->server = std::move(Value(server));
    aConnection->client.set_option(Tcp::no_delay(true), error);
    this->connections.insert(aConnection);
    Spawn([this, aConnection] {
      this->CopyDirection(*aConnection,
                          aConnection->client,
                          aConnection->server,
                          aConnection->silentToServer);
    });
    this->CopyDirection(*aConnection,
                        aConnection->server,
                        aConnection->client,
                        aConnection->silentToClient);
    this->connections.erase(aConnection);
  }

  /// Copies one direction until its source closes. For a silenced direction,
  /// data is discarded and the end of the stream is not passed on.
  void CopyDirection(ProxiedConnection& aConnection,
                     Tcp::socket& aFrom,
                     Tcp::socket& aTo,
                     const bool& aSilent)
  {
    std::array<char, 16384> buffer{};
    boost::system::error_code error;
    while (true) {
      const IoResult read = Await([&](auto aDone) {
        aFrom.async_read_some(asio::buffer(buffer), aDone);
      });
      const bool silent = aSilent || this->IsCut(aConnection.source);
      if (!read) {
        if (!silent) {
          aTo.shutdown(Tcp::socket::shutdown_both, error);
        }
        return;
      }
      this->Throttle(read.bytes);
      if (silent || aSilent) {
        continue;
      }
      const IoResult written = Await([&](auto aDone) {
        asio::async_write(aTo, asio::buffer(buffer, read.bytes), aDone);
      });
      if (!written) {
        aFrom.shutdown(Tcp::socket::shutdown_both, error);
        return;
      }
    }
  }

  void Throttle(std::size_t aBytes)
  {
    Duration delay = Millis(this->faults.delayMs);
    if (this->faults.bytesPerSecond > 0) {
      delay +=
        std::chrono::nanoseconds(static_cast<std::int64_t>(aBytes) *
                                 1000000000 / this->faults.bytesPerSecond);
    }
    if (delay > Duration::zero()) {
      boost::this_fiber::sleep_for(delay);
    }
  }

  void Apply(const json::object& aObject)
  {
    if (const auto* value = aObject.if_contains("delay_ms")) {
      this->faults.delayMs = value->as_int64();
    }
    if (const auto* value = aObject.if_contains("bytes_per_second")) {
      this->faults.bytesPerSecond = value->as_int64();
    }
    if (const auto* value = aObject.if_contains("cut_from")) {
      this->faults.cutFrom.clear();
      for (const auto& source : value->as_array()) {
        this->faults.cutFrom.insert(json::value_to<std::string>(source));
      }
    }
    const auto* silence = aObject.if_contains("silence");
    const auto* reset = aObject.if_contains("reset");
    for (const auto& connection : this->connections) {
      if (silence != nullptr) {
        const auto direction = json::value_to<std::string>(*silence);
        connection->silentToServer =
          connection->silentToServer || direction != "down";
        connection->silentToClient =
          connection->silentToClient || direction != "up";
      }
      if (reset != nullptr) {
        Reset(connection->client);
        Reset(connection->server);
      }
    }
  }

  static void Reset(Tcp::socket& aSocket)
  {
    boost::system::error_code error;
    aSocket.set_option(asio::socket_base::linger(true, 0), error);
    aSocket.close(error);
  }

  asio::io_context& context;
  Endpoint listen;
  Endpoint target;
  Udp::socket datagrams;
  Faults faults;
  std::set<std::shared_ptr<ProxiedConnection>> connections;
};

void
Run()
{
  constexpr std::size_t kMaxBodyBytes = 65536;
  Worker worker;
  Proxy proxy(worker.Context());
  RunStandIn(
    worker,
    RequireEndpoint(FLAGS_control),
    kMaxBodyBytes,
    [&](Request&& aRequest) { return proxy.HandleControl(aRequest); },
    [&] {
      Spawn([&] { proxy.AcceptForever(); });
      Spawn([&] { proxy.RelayDatagramsForever(); });
    });
}

}
}

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  baobab::Run();
  std::_Exit(0);
}
