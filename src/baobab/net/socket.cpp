#include "baobab/net/socket.hpp"

#include "baobab/net/timeout.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace baobab {
namespace {

namespace asio = boost::asio;
using ReusePort =
  asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Defers the choice of the local port from bind to connect, so that
/// connections to different destinations can use the same port.
using BindAddressNoPort =
  asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;

template<int Name>
using TcpInteger = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int kBacklog = 4096;

/// Reads one byte without removing it from the receive buffer.
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
                  "stop the program that uses the address, or change it in the "
                  "settings file" };
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
LimitReceiveBuffer(Tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  // The kernel doubles the value, for its own overhead.
  aSocket.set_option(
    asio::socket_base::receive_buffer_size(kReceiveBufferBytes / 2), ignored);
}

void
EnableDeadPeerDetection(Tcp::socket& aSocket)
{
  // The kernel closes the connection after two unanswered keep-alive probes, or
  // when sent data stays unacknowledged for too long.
  constexpr int kIdleSeconds = 1;
  constexpr int kProbeIntervalSeconds = 1;
  constexpr int kProbes = 2;
  constexpr int kUnacknowledgedMs = 3000;
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(TcpInteger<TCP_KEEPIDLE>(kIdleSeconds), ignored);
  aSocket.set_option(TcpInteger<TCP_KEEPINTVL>(kProbeIntervalSeconds), ignored);
  aSocket.set_option(TcpInteger<TCP_KEEPCNT>(kProbes), ignored);
  aSocket.set_option(TcpInteger<TCP_USER_TIMEOUT>(kUnacknowledgedMs), ignored);
}

Input
CheckInput(Tcp::socket& aSocket)
{
  ::pollfd state{ aSocket.native_handle(), POLLIN | POLLRDHUP, 0 };
  if (::poll(&state, 1, 0) <= 0) {
    return Input::None;
  }
  return (state.revents & POLLIN) == state.revents ? Input::Data : Input::Ended;
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
