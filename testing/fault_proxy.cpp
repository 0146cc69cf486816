/// @file
/// TCP and UDP proxy that injects faults between daemons: delay, bandwidth,
/// resets, silent connections while new ones work, and cuts by source.
#include "baobab/net/accept.hpp"
#include "standin.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <set>

DEFINE_string(listen, "127.0.0.1:7101", "address that clients use");
DEFINE_string(to, "127.0.0.1:7100", "address that is proxied");
DEFINE_string(control, "127.0.0.1:7102", "address that sets the faults");

namespace baobab {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// Faults in force; set by POST /faults. Members that are absent stay.
struct Faults
{
  /// Delay of each piece in each direction.
  std::int64_t delayMs = 0;
  /// Bytes a second in each direction of a connection; 0: no limit.
  std::int64_t bytesPerSecond = 0;
  /// Sources, as IP numbers, whose traffic is dropped without a sign.
  std::set<std::string> cutFrom;
};

/// Directions of one connection that have gone silent for good.
struct Pair
{
  explicit Pair(asio::io_context& aContext)
    : client(aContext)
    , server(aContext)
  {
  }

  Tcp::socket client;
  Tcp::socket server;
  std::string source;
  bool silentUp = false;
  bool silentDown = false;
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
      Fail(Failure(acceptor));
    }
    AcceptConnections(Value(acceptor), [this](Tcp::socket aSocket) {
      auto pair = std::make_shared<Pair>(this->context);
      pair->client = std::move(aSocket);
      Spawn([this, pair] { this->Open(pair); });
    });
  }

  void RelayDatagrams()
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

  Response Control(const Request& aRequest)
  {
    if (aRequest.target == "/stats") {
      return TextResponse(200, std::to_string(this->pairs.size()) + "\n");
    }
    boost::system::error_code error;
    const auto parsed = json::parse(aRequest.body, error);
    if (error || !parsed.is_object()) {
      return TextResponse(400, "send a JSON object\n");
    }
    this->Apply(parsed.as_object());
    return TextResponse(200, "ok\n");
  }

private:
  /// The sender's address is kept as the source of the datagram, so that the
  /// receiver's answer goes straight back.
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

  void Open(const std::shared_ptr<Pair>& aPair)
  {
    boost::system::error_code error;
    aPair->source = aPair->client.remote_endpoint(error).address().to_string();
    auto server = Connect(this->context, this->target, 1s);
    if (!Succeeded(server)) {
      aPair->client.close(error);
      return;
    }
    aPair->server = std::move(Value(server));
    aPair->client.set_option(Tcp::no_delay(true), error);
    this->pairs.insert(aPair);
    Spawn([this, aPair] {
      this->Pump(*aPair, aPair->client, aPair->server, aPair->silentUp);
    });
    this->Pump(*aPair, aPair->server, aPair->client, aPair->silentDown);
    this->pairs.erase(aPair);
  }

  /// Copies one direction until its source ends. A silent direction is read
  /// and thrown away, and its end is not passed on.
  void Pump(Pair& aPair,
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
      const bool silent = aSilent || this->IsCut(aPair.source);
      if (!read) {
        if (!silent) {
          aTo.shutdown(Tcp::socket::shutdown_both, error);
        }
        return;
      }
      this->Shape(read.bytes);
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

  void Shape(std::size_t aBytes)
  {
    Duration pause = Millis(this->faults.delayMs);
    if (this->faults.bytesPerSecond > 0) {
      pause +=
        std::chrono::nanoseconds(static_cast<std::int64_t>(aBytes) *
                                 1000000000 / this->faults.bytesPerSecond);
    }
    if (pause > Duration::zero()) {
      boost::this_fiber::sleep_for(pause);
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
    for (const auto& pair : this->pairs) {
      if (silence != nullptr) {
        const auto direction = json::value_to<std::string>(*silence);
        pair->silentUp = pair->silentUp || direction != "down";
        pair->silentDown = pair->silentDown || direction != "up";
      }
      if (reset != nullptr) {
        Reset(pair->client);
        Reset(pair->server);
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
  std::set<std::shared_ptr<Pair>> pairs;
};

void
Run()
{
  constexpr std::size_t kBodyBytes = 65536;
  Worker worker;
  Proxy proxy(worker.Context());
  RunStandIn(
    worker,
    RequireEndpoint(FLAGS_control),
    kBodyBytes,
    [&](Request&& aRequest) { return proxy.Control(aRequest); },
    [&] {
      Spawn([&] { proxy.AcceptForever(); });
      Spawn([&] { proxy.RelayDatagrams(); });
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
