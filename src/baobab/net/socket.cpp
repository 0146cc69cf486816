#include "baobab/net/socket.hpp"

#include "baobab/net/timeout.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace baobab {
namespace {

namespace asio = boost::asio;
using ReusePort =
  asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Leaves the choice of the local port to the connect, so that ports are
/// shared between destinations.
using BindAddressNoPort =
  asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;

template<int Name>
using TcpNumber = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int kBacklog = 4096;

/// Looks for a byte to read without taking it.
ssize_t
Peek(Tcp::socket& aSocket)
{
  char byte = 0;
  return ::recv(
    aSocket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
}

}

Tcp::endpoint
ToTcp(const Endpoint& aEndpoint)
{
  return { asio::ip::address_v4(aEndpoint.address), aEndpoint.port };
}

Udp::endpoint
ToUdp(const Endpoint& aEndpoint)
{
  return { asio::ip::address_v4(aEndpoint.address), aEndpoint.port };
}

Result<Tcp::acceptor>
Listen(asio::io_context& aContext, const Endpoint& aEndpoint)
{
  Tcp::acceptor acceptor(aContext);
  boost::system::error_code error;
  acceptor.open(Tcp::v4(), error);
  acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  acceptor.set_option(ReusePort(true), error);
  acceptor.bind(ToTcp(aEndpoint), error);
  if (!error) {
    acceptor.listen(kBacklog, error);
  }
  if (error) {
    return Error{ ErrorKind::System,
                  "cannot listen on " + ToString(aEndpoint) + ": " +
                    error.message(),
                  "free the address or change it in the settings file" };
  }
  return acceptor;
}

Result<Tcp::socket>
Connect(asio::io_context& aContext,
        const Endpoint& aEndpoint,
        Duration aTimeout,
        std::uint32_t aLocalAddress)
{
  Tcp::socket socket(aContext);
  if (aLocalAddress != 0) {
    boost::system::error_code ignored;
    socket.open(Tcp::v4(), ignored);
    socket.set_option(BindAddressNoPort(true), ignored);
    socket.bind(ToTcp({ aLocalAddress, 0 }), ignored);
  }
  const Timeout timeout(socket, aTimeout);
  const IoResult result = Await(
    [&](auto aHandler) { socket.async_connect(ToTcp(aEndpoint), aHandler); });
  if (!result) {
    return Error{ timeout.Expired() ? ErrorKind::TimedOut
                                    : ErrorKind::ConnectFailed,
                  "cannot connect to " + ToString(aEndpoint) + ": " +
                    result.error.message(),
                  "" };
  }
  boost::system::error_code error;
  socket.set_option(Tcp::no_delay(true), error);
  return socket;
}

void
EnableDeadPeerDetection(Tcp::socket& aSocket)
{
  // The operating system gives up after two unanswered probes.
  constexpr int kIdleSeconds = 1;
  constexpr int kProbeSeconds = 1;
  constexpr int kProbes = 2;
  constexpr int kUnacknowledgedMillis = 3000;
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(TcpNumber<TCP_KEEPIDLE>(kIdleSeconds), ignored);
  aSocket.set_option(TcpNumber<TCP_KEEPINTVL>(kProbeSeconds), ignored);
  aSocket.set_option(TcpNumber<TCP_KEEPCNT>(kProbes), ignored);
  aSocket.set_option(TcpNumber<TCP_USER_TIMEOUT>(kUnacknowledgedMillis),
                     ignored);
}

bool
IsDisconnected(Tcp::socket& aSocket)
{
  const auto count = Peek(aSocket);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool
IsStale(Tcp::socket& aSocket)
{
  return Peek(aSocket) > 0 || IsDisconnected(aSocket);
}

}
