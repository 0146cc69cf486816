/// @file
#pragma once

#include "baobab/core/time.hpp"
#include "baobab/net/socket.hpp"

#include <boost/fiber/operations.hpp>
#include <utility>

namespace baobab {

/// Accepts connections until the acceptor is closed and passes each socket to
/// a function. After a failed accept, for example when the process is out of
/// file descriptors, it waits briefly before trying again.
template<class F>
void
AcceptConnections(Tcp::acceptor& aAcceptor, F aHandleSocket)
{
  constexpr Duration kRetryDelay = 20ms;
  while (aAcceptor.is_open()) {
    Tcp::socket socket(aAcceptor.get_executor());
    const IoResult accepted =
      Await([&](auto aHandler) { aAcceptor.async_accept(socket, aHandler); });
    if (accepted) {
      aHandleSocket(std::move(socket));
    } else if (accepted.error == boost::asio::error::operation_aborted) {
      return;
    } else {
      boost::this_fiber::sleep_for(kRetryDelay);
    }
  }
}

}
