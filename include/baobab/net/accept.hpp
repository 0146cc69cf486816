/// @file
#pragma once

#include "baobab/core/time.hpp"
#include "baobab/net/socket.hpp"

#include <boost/fiber/operations.hpp>
#include <utility>

namespace baobab {

/// Accepts connections until the acceptor closes, and hands each to a
/// function. Pauses after a failure, for example with no descriptor left.
template<class F>
void
AcceptConnections(Tcp::acceptor& aAcceptor, F aHandle)
{
  constexpr Duration kPause = 20ms;
  while (aAcceptor.is_open()) {
    Tcp::socket socket(aAcceptor.get_executor());
    const IoResult accepted =
      Await([&](auto aDone) { aAcceptor.async_accept(socket, aDone); });
    if (accepted) {
      aHandle(std::move(socket));
    } else if (accepted.error == boost::asio::error::operation_aborted) {
      return;
    } else {
      boost::this_fiber::sleep_for(kPause);
    }
  }
}

}
