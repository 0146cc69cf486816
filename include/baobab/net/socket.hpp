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

/// Converts to Asio's type.
Tcp::endpoint ToTcp(const Endpoint& aEndpoint);

/// Converts to Asio's type.
Udp::endpoint ToUdp(const Endpoint& aEndpoint);

/// Opens a listening socket that may share its port with other workers.
/// Fails with System.
Result<Tcp::acceptor> Listen(boost::asio::io_context& aContext,
                             const Endpoint& aEndpoint);

/// Opens a connection without delayed sends.
/// Fails with ConnectFailed or TimedOut.
/// @param aLocalAddress address from which the connection comes; 0 leaves it
///   to the system
Result<Tcp::socket> Connect(boost::asio::io_context& aContext,
                            const Endpoint& aEndpoint,
                            Duration aTimeout,
                            std::uint32_t aLocalAddress = 0);

/// Makes a connection fail within a few seconds after the other end has gone
/// or no longer knows of it. Without this, one that waits for an answer, or
/// idles in a pool, may stay silent for good.
void EnableDeadPeerDetection(Tcp::socket& aSocket);

/// True if the other end has closed the connection, or it has failed.
bool IsDisconnected(Tcp::socket& aSocket);

/// True if the other end has closed the connection or sent what nobody asked
/// for; such a connection must not carry another request.
bool IsStale(Tcp::socket& aSocket);

}
