/// @file
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/core/time.hpp"
#include "baobab/net/socket.hpp"
#include "baobab/net/timeout.hpp"
#include "baobab/wire/peer_message.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
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

  /// Queues a call with a large body, which is sent from where it is. The body
  /// must stay until it was sent, or Detach() was called.
  /// @param aMessage with an empty body
  void SendWithBody(const CallMessage& aMessage, std::string_view aBody);

  /// Queues an answer, and takes its body over.
  void SendLarge(AnswerMessage aMessage);

  /// Copies what is still to be sent of a body, which may then be freed.
  void Detach(std::string_view aBody);

  /// Waits for the next message. Fails with ConnectionLost, BadMessage or
  /// TooLarge, and closes the connection in each case. If there is no memory
  /// for the body of a call or an answer, the message comes without it and is
  /// marked so.
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
  /// Bytes to send, and a body that follows them.
  struct Piece
  {
    std::string bytes;
    /// Body that this connection owns; `body` refers to it.
    std::string owned;
    std::string_view body;
    HeldMemory held{ MemoryPart::Answers };
  };

  Piece& LastPiece();
  void ExpectResponse(bool aExpected);
  void StartFlush();
  void Flush();
  bool TakeNextBytes();
  /// Reads at least one byte into a buffer. Returns false, and closes the
  /// connection, if there are none.
  bool ReadSome(char* aBytes, std::size_t aSize, std::size_t& aRead);
  Result<PeerMessage> ReadLargeFrame(std::size_t aLength);
  bool ReadTo(std::string& aFrame, std::size_t aSize);
  bool Skip(std::size_t aBytes);
  /// Decodes the first frame of `incoming`, which must be complete.
  Result<PeerMessage> DecodeBufferedFrame(std::size_t aLength);

  Tcp::socket socket;
  /// What waits for the next writes.
  std::deque<Piece> outgoing;
  std::size_t unsent = 0;
  /// Bytes of the write in progress.
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
