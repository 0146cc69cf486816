/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace baobab {

/// Closes a socket after a time, unless this object is destroyed before.
template<class Socket>
class Timeout
{
public:
  Timeout(Socket& aSocket, Duration aTime)
    : timer(aSocket.get_executor(), aTime)
    , state(std::make_shared<State>(State{ &aSocket }))
  {
    this->timer.async_wait(
      [state = this->state](boost::system::error_code aError) {
        if (!aError && state->socket != nullptr) {
          state->expired = true;
          state->socket->close(aError);
        }
      });
  }

  Timeout(const Timeout&) = delete;
  Timeout& operator=(const Timeout&) = delete;

  ~Timeout() { this->state->socket = nullptr; }

  /// True if the time has passed and the socket was closed.
  bool Expired() const { return this->state->expired; }

private:
  struct State
  {
    Socket* socket;
    bool expired = false;
  };

  boost::asio::steady_timer timer;
  std::shared_ptr<State> state;
};

}
