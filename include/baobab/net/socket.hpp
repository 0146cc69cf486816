/// @file
/// Socket helpers for fibers.
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/result.hpp"
#include "baobab/core/time.hpp"
#include "baobab/net/await.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace baobab {

using Tcp = boost::asio::ip::tcp;
using Udp = boost::asio::ip::udp;

/// Converts an endpoint to Asio's TCP type.
Tcp::endpoint ToTcp(const Endpoint& aEndpoint);

/// Converts an endpoint to Asio's UDP type.
Udp::endpoint ToUdp(const Endpoint& aEndpoint);

/// Opens a listening socket with SO_REUSEPORT, so that several workers can
/// listen on one port. Fails with System.
Result<Tcp::acceptor> Listen(boost::asio::io_context& aContext,
                             const Endpoint& aEndpoint);

/// Opens a connection with TCP_NODELAY. Fails with ConnectFailed or TimedOut.
/// @param aLocalAddress local IPv4 address of the connection; 0 lets the
///   system choose
Result<Tcp::socket> Connect(boost::asio::io_context& aContext,
                            const Endpoint& aEndpoint,
                            Duration aTimeout,
                            std::uint32_t aLocalAddress = 0);

/// Bytes that a connection may receive before they are read, if the memory of
/// the process is limited.
constexpr std::size_t kReceiveBufferBytes = 128U << 10U;

/// Limits what a connection may receive before it is read.
void LimitReceiveBuffer(Tcp::socket& aSocket);

/// Makes a connection fail within a few seconds after the peer has vanished or
/// lost the connection's state. Otherwise a connection that waits for a
/// response, or is idle in a pool, may never report an error.
void EnableDeadPeerDetection(Tcp::socket& aSocket);

/// What a connection holds for the reader.
enum class Input : std::uint8_t
{
  None,
  Data,
  /// The peer has closed or reset the connection, perhaps behind unread data.
  Ended,
};

/// Returns what a connection holds, without reading it.
Input CheckInput(Tcp::socket& aSocket);

/// True if the peer has closed the connection or the connection has failed.
bool IsDisconnected(Tcp::socket& aSocket);

/// True if the connection must not carry another request: it has ended, or the
/// peer has sent unexpected data.
bool IsStale(Tcp::socket& aSocket);

}
