/// @file
#pragma once

#include "baobab/core/time.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace baobab {

/// Closes a socket unless it is destroyed before a time passes.
template<class Socket>
class Timeout
{
public:
  Timeout(Socket& aSocket, Duration aTime)
    : timer(aSocket.get_executor(), aTime)
    , watched(std::make_shared<Watched>(Watched{ &aSocket }))
  {
    this->timer.async_wait(
      [watched = this->watched](boost::system::error_code aError) {
        if (!aError && watched->socket != nullptr) {
          watched->expired = true;
          watched->socket->close(aError);
        }
      });
  }

  Timeout(const Timeout&) = delete;
  Timeout& operator=(const Timeout&) = delete;

  ~Timeout() { this->watched->socket = nullptr; }

  bool Expired() const { return this->watched->expired; }

private:
  struct Watched
  {
    Socket* socket;
    bool expired = false;
  };

  boost::asio::steady_timer timer;
  std::shared_ptr<Watched> watched;
};

}
