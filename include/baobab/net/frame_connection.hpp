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

/// A TCP connection that carries framed messages between daemons. Confined to
/// one thread; only one fiber may read.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
  explicit FrameConnection(Tcp::socket aSocket);

  /// Queues a message. Messages of one scheduling round share a write.
  void Send(const PeerMessage& aMessage);

  /// Waits for the next message. Fails with ConnectionLost, BadMessage or
  /// TooLarge, and closes the connection in each case.
  Result<PeerMessage> Read();

  /// Closes the connection. Received data that was not read yet is lost.
  void Close();

  /// Closes the connection after a time, unless the returned timer is
  /// destroyed before.
  std::unique_ptr<Timeout<Tcp::socket>> CloseAfter(Duration aTime)
  {
    return std::make_unique<Timeout<Tcp::socket>>(this->socket, aTime);
  }

  bool IsOpen() const { return this->socket.is_open(); }

  /// Returns since when the connection waits for a response without having
  /// received anything; the current time if it waits for none.
  TimePoint UnansweredSince() const;

private:
  void Flush();
  /// Decodes the first frame of `incoming`, which must be complete.
  Result<PeerMessage> DecodeBufferedFrame(std::size_t aLength);

  Tcp::socket socket;
  /// Frames that wait for the next write.
  std::string outgoing;
  /// Frames of the write in progress.
  std::string writing;
  bool flushing = false;
  /// Received bytes; those from readPosition to writePosition are not decoded
  /// yet.
  std::vector<std::uint8_t> incoming;
  std::size_t readPosition = 0;
  std::size_t writePosition = 0;
  /// Current frame, aligned to 8 bytes.
  std::vector<std::uint64_t> frame;
  /// Time of the first message since the last received data that needs a
  /// response; `TimePoint{}` if there is none.
  TimePoint unansweredSince;
};

}
