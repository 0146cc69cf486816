/// @file
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/core/time.hpp"
#include "baobab/net/socket.hpp"
#include "baobab/net/timeout.hpp"
#include "baobab/wire/peer_message.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace baobab {

/// A TCP connection that carries frames between daemons. It belongs to one
/// thread; one fiber reads.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
  explicit FrameConnection(Tcp::socket aSocket);

  /// Appends a message; messages of one scheduling round share a write.
  void Send(const PeerMessage& aMessage);

  /// Waits for the next message. Fails with ConnectionLost or BadMessage;
  /// the connection is closed then.
  Result<PeerMessage> Read();

  /// Closes the connection; nothing that was not read yet will be read.
  void Close();

  /// Closes the connection unless the returned timer is destroyed before.
  std::unique_ptr<Timeout<Tcp::socket>> CloseAfter(Duration aTime)
  {
    return std::make_unique<Timeout<Tcp::socket>>(this->socket, aTime);
  }

  bool IsOpen() const { return this->socket.is_open(); }

  /// Since when something sent is not followed by anything received; now if
  /// nothing is outstanding.
  TimePoint UnansweredSince() const;

private:
  void Flush();
  Result<PeerMessage> TakeFrame(std::size_t aLength);

  Tcp::socket socket;
  std::string outgoing;
  std::string writing;
  bool flushing = false;
  std::vector<std::uint8_t> incoming;
  std::size_t readPosition = 0;
  std::size_t filled = 0;
  /// Frame storage on an 8-byte boundary.
  std::vector<std::uint64_t> frame;
  TimePoint unansweredSince;
};

}
