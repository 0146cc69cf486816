#include "baobab/net/frame_connection.hpp"
#include "baobab/net/clock.hpp"

#include "baobab/wire/peer_codec.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <ranges>

namespace baobab {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kReadBytes = 4096;

/// Capacity above which an empty buffer is freed. A daemon has a connection to
/// each daemon that it calls, and every one of them would otherwise hold the
/// memory of its largest message.
constexpr std::size_t kMaxIdleBufferBytes = 8192;

/// Bytes of a body that are sent or received at once.
constexpr std::size_t kBodyPartBytes = 256U << 10U;

/// Size of a frame from which on it is read into memory of its own.
constexpr std::size_t kLargeFrameBytes = 256U << 10U;

/// Part of a large frame that contains all but its body: more than the largest
/// headers.
constexpr std::size_t kFrameFrontBytes = 64U << 10U;

/// Size of a body from which on it is counted.
constexpr std::size_t kCountedBodyBytes = 16U << 10U;

/// Unsent bytes above which a connection is closed.
constexpr std::size_t kMaxUnsentBytes = 128U << 20U;

static_assert(kFrameFrontBytes < kLargeFrameBytes);

/// True if the peer must respond to the message, so that its silence means
/// that the connection is lost.
bool
ExpectsResponse(const PeerMessage& aMessage)
{
  const auto* heartbeat = std::get_if<HeartbeatMessage>(&aMessage);
  return std::holds_alternative<HelloMessage>(aMessage) ||
         std::holds_alternative<CallMessage>(aMessage) ||
         std::holds_alternative<OutcomeQueryMessage>(aMessage) ||
         (heartbeat != nullptr && !heartbeat->reply);
}

/// Holds the memory of a message's body, or removes the body if there is none
/// left. Bodies that are small are not counted.
template<class Message>
void
HoldBody(Message& aMessage, MemoryPart aPart)
{
  if (aMessage.body.size() < kCountedBodyBytes) {
    return;
  }
  aMessage.held = HeldMemory(aPart);
  if (!aMessage.held.TryHold(aMessage.body.size(), true)) {
    std::string().swap(aMessage.body);
    aMessage.held.MarkRefused();
  }
}

/// Clears a buffer, and frees its memory if it is large.
template<class Buffer>
void
ClearAndShrink(Buffer& aBuffer)
{
  aBuffer.clear();
  if (aBuffer.capacity() * sizeof(aBuffer[0]) > kMaxIdleBufferBytes) {
    Buffer().swap(aBuffer);
  }
}

}

FrameConnection::FrameConnection(Tcp::socket aSocket)
  : socket(std::move(aSocket))
  , incoming(kReadBytes)
{
  boost::system::error_code error;
  this->socket.set_option(Tcp::no_delay(true), error);
  this->socket.non_blocking(true, error);
}

void
FrameConnection::Send(const PeerMessage& aMessage)
{
  if (!this->IsOpen()) {
    return;
  }
  this->ExpectResponse(ExpectsResponse(aMessage));
  std::string& bytes = this->LastPiece().bytes;
  const std::size_t before = bytes.size();
  AppendFrame(aMessage, bytes);
  this->unsent += bytes.size() - before;
  this->StartFlush();
}

void
FrameConnection::SendWithBody(const CallMessage& aMessage,
                              std::string_view aBody)
{
  if (!this->IsOpen()) {
    return;
  }
  this->ExpectResponse(true);
  Piece& piece = this->LastPiece();
  const std::size_t before = piece.bytes.size();
  AppendFrame(aMessage, piece.bytes, aBody.size());
  piece.body = aBody;
  this->unsent += piece.bytes.size() - before + aBody.size();
  this->StartFlush();
}

void
FrameConnection::SendLarge(AnswerMessage aMessage)
{
  if (!this->IsOpen()) {
    return;
  }
  Piece& piece = this->LastPiece();
  const std::size_t before = piece.bytes.size();
  piece.owned = std::exchange(aMessage.response.body, {});
  piece.held = std::exchange(aMessage.response.held, {});
  AppendFrame(aMessage, piece.bytes, piece.owned.size());
  piece.body = piece.owned;
  this->unsent += piece.bytes.size() - before + piece.body.size();
  this->StartFlush();
}

void
FrameConnection::Detach(std::string_view aBody)
{
  const auto refersTo = [&](const Piece& aPiece) {
    return !aPiece.body.empty() && aPiece.body.data() >= aBody.data() &&
           aPiece.body.data() < aBody.data() + aBody.size();
  };
  if (!this->IsOpen()) {
    return;
  }
  for (Piece& piece : this->outgoing | std::views::filter(refersTo)) {
    piece.owned = piece.body;
    piece.body = piece.owned;
    piece.held.Account(piece.owned.size());
  }
}

/// Returns the piece to which the next frame is appended.
FrameConnection::Piece&
FrameConnection::LastPiece()
{
  if (this->outgoing.empty() || !this->outgoing.back().body.empty()) {
    return this->outgoing.emplace_back();
  }
  return this->outgoing.back();
}

void
FrameConnection::ExpectResponse(bool aExpected)
{
  if (aExpected && this->unansweredSince == TimePoint{}) {
    this->unansweredSince = Now();
  }
}

void
FrameConnection::StartFlush()
{
  if (this->unsent > kMaxUnsentBytes) {
    this->Close();
    return;
  }
  if (!this->flushing) {
    this->flushing = true;
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this()] { self->Flush(); });
  }
}

/// Moves the next bytes to send to `writing`; false if there are none.
bool
FrameConnection::TakeNextBytes()
{
  ClearAndShrink(this->writing);
  if (this->outgoing.empty()) {
    return false;
  }
  Piece& piece = this->outgoing.front();
  if (!piece.bytes.empty()) {
    std::swap(this->writing, piece.bytes);
  } else {
    this->writing.assign(piece.body.substr(0, kBodyPartBytes));
    piece.body.remove_prefix(this->writing.size());
  }
  this->unsent -= this->writing.size();
  if (piece.bytes.empty() && piece.body.empty()) {
    this->outgoing.pop_front();
  }
  return true;
}

void
FrameConnection::Flush()
{
  while (this->IsOpen() && this->TakeNextBytes()) {
    boost::system::error_code error;
    const std::size_t sent =
      this->socket.write_some(asio::buffer(this->writing), error);
    if (error && error != asio::error::would_block) {
      this->Close();
      break;
    }
    if (sent < this->writing.size()) {
      asio::async_write(this->socket,
                        asio::buffer(this->writing) + sent,
                        [self = this->shared_from_this()](auto aError, auto) {
                          if (aError) {
                            self->Close();
                          }
                          self->Flush();
                        });
      return;
    }
  }
  this->flushing = false;
}

Result<PeerMessage>
FrameConnection::Read()
{
  while (this->IsOpen()) {
    const std::size_t available = this->writePosition - this->readPosition;
    std::size_t wanted = kFrameHeaderBytes;
    if (available >= kFrameHeaderBytes) {
      const auto length =
        FrameLength(std::span<const std::uint8_t, kFrameHeaderBytes>(
          this->incoming.data() + this->readPosition, kFrameHeaderBytes));
      if (!Succeeded(length)) {
        this->Close();
        return Failure(length);
      }
      if (Value(length) > kLargeFrameBytes) {
        return this->ReadLargeFrame(Value(length));
      }
      wanted += Value(length);
      if (available >= wanted) {
        return this->DecodeBufferedFrame(Value(length));
      }
    }
    if (available == 0 && this->incoming.size() > kMaxIdleBufferBytes) {
      std::vector<std::uint8_t>(kReadBytes).swap(this->incoming);
      this->readPosition = 0;
      this->writePosition = 0;
    }
    if (this->readPosition > 0) {
      std::memmove(this->incoming.data(),
                   this->incoming.data() + this->readPosition,
                   available);
      this->readPosition = 0;
      this->writePosition = available;
    }
    if (this->incoming.size() < wanted) {
      this->incoming.resize(wanted);
    }
    const IoResult result = Await([&](auto aHandler) {
      this->socket.async_read_some(
        asio::buffer(this->incoming) + this->writePosition, aHandler);
    });
    if (!result) {
      this->Close();
      return Error{ ErrorKind::ConnectionLost, result.error.message(), "" };
    }
    this->writePosition += result.bytes;
    this->unansweredSince = TimePoint{};
  }
  return Error{ ErrorKind::ConnectionLost, "the connection was closed", "" };
}

/// Reads a frame that is too large to be copied.
Result<PeerMessage>
FrameConnection::ReadLargeFrame(std::size_t aLength)
{
  const Error lost{ ErrorKind::ConnectionLost,
                    "the connection was lost within a message",
                    "" };
  std::string frame;
  this->readPosition += kFrameHeaderBytes;
  if (!this->ReadTo(frame, kFrameFrontBytes)) {
    return lost;
  }
  const auto body = FindFrameBody(
    { reinterpret_cast<const std::uint8_t*>(frame.data()), frame.size() });
  HeldMemory held(body && !body->answer ? MemoryPart::Calls
                                        : MemoryPart::Answers);
  const bool removable = body && body->position + body->size == aLength &&
                         body->position <= frame.size();
  // Answers of calls that ran use the reserve.
  const bool reserve = body && body->answer && aLength <= kReservedAnswerBytes;
  const bool refused = removable && !held.TryHold(aLength, reserve);
  if (refused) {
    RemoveFrameBody(frame, *body);
    held.MarkRefused();
    if (!this->Skip(aLength - kFrameFrontBytes)) {
      return lost;
    }
  } else {
    held.Account(aLength);
    // Memory is in use only where it was written to.
    frame.reserve(aLength);
    if (!this->ReadTo(frame, aLength)) {
      return lost;
    }
  }
  auto message = DecodeLargeFrame(std::move(frame));
  if (!Succeeded(message)) {
    this->Close();
    return message;
  }
  if (auto* call = std::get_if<CallMessage>(&Value(message))) {
    call->request.held = std::move(held);
  } else if (auto* answer = std::get_if<AnswerMessage>(&Value(message))) {
    answer->response.held = std::move(held);
  }
  return message;
}

/// Appends received bytes to a frame until it has a size.
bool
FrameConnection::ReadTo(std::string& aFrame, std::size_t aSize)
{
  const std::size_t buffered =
    std::min(this->writePosition - this->readPosition, aSize - aFrame.size());
  aFrame.append(reinterpret_cast<const char*>(this->incoming.data()) +
                  this->readPosition,
                buffered);
  this->readPosition += buffered;
  while (aFrame.size() < aSize) {
    const std::size_t before = aFrame.size();
    aFrame.resize(std::min(aSize, before + kBodyPartBytes));
    std::size_t read = 0;
    if (!this->ReadSome(aFrame.data() + before, aFrame.size() - before, read)) {
      return false;
    }
    aFrame.resize(before + read);
  }
  return true;
}

/// Discards received bytes.
bool
FrameConnection::Skip(std::size_t aBytes)
{
  std::string discarded;
  while (aBytes > 0) {
    discarded.clear();
    const std::size_t next = std::min(aBytes, kBodyPartBytes);
    if (!this->ReadTo(discarded, next)) {
      return false;
    }
    aBytes -= next;
  }
  return true;
}

bool
FrameConnection::ReadSome(char* aBytes, std::size_t aSize, std::size_t& aRead)
{
  const IoResult result = Await([&](auto aHandler) {
    this->socket.async_read_some(asio::buffer(aBytes, aSize), aHandler);
  });
  if (!result) {
    this->Close();
    return false;
  }
  aRead = result.bytes;
  this->unansweredSince = TimePoint{};
  return true;
}

Result<PeerMessage>
FrameConnection::DecodeBufferedFrame(std::size_t aLength)
{
  this->frame.resize(aLength / sizeof(std::uint64_t) + 1);
  std::memcpy(this->frame.data(),
              this->incoming.data() + this->readPosition + kFrameHeaderBytes,
              aLength);
  this->readPosition += kFrameHeaderBytes + aLength;
  auto message = DecodeFrame(
    { reinterpret_cast<const std::uint8_t*>(this->frame.data()), aLength });
  ClearAndShrink(this->frame);
  if (!Succeeded(message)) {
    this->Close();
    return message;
  }
  if (auto* call = std::get_if<CallMessage>(&Value(message))) {
    HoldBody(call->request, MemoryPart::Calls);
  } else if (auto* answer = std::get_if<AnswerMessage>(&Value(message))) {
    HoldBody(answer->response, MemoryPart::Answers);
  }
  return message;
}

void
FrameConnection::Close()
{
  boost::system::error_code error;
  this->socket.close(error);
  // What is being written at the moment is kept apart.
  this->outgoing.clear();
  this->unsent = 0;
}

TimePoint
FrameConnection::UnansweredSince() const
{
  return this->unansweredSince == TimePoint{} ? Now() : this->unansweredSince;
}

}
