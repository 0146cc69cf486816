#include "baobab/net/frame_connection.hpp"
#include "baobab/net/clock.hpp"

#include "baobab/wire/peer_codec.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

namespace baobab {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kReadBytes = 4096;

/// Capacity above which an empty buffer is freed. A daemon has a connection to
/// each daemon that it calls, and every one of them would otherwise hold the
/// memory of its largest message.
constexpr std::size_t kMaxIdleBufferBytes = 8192;

/// Unsent bytes above which a connection is closed.
constexpr std::size_t kMaxUnsentBytes = 128U << 20U;

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
  if (ExpectsResponse(aMessage) && this->unansweredSince == TimePoint{}) {
    this->unansweredSince = Now();
  }
  AppendFrame(aMessage, this->outgoing);
  if (this->outgoing.size() > kMaxUnsentBytes) {
    this->Close();
    return;
  }
  if (!this->flushing) {
    this->flushing = true;
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this()] { self->Flush(); });
  }
}

void
FrameConnection::Flush()
{
  ClearAndShrink(this->writing);
  if (!this->IsOpen() || this->outgoing.empty()) {
    this->flushing = false;
    return;
  }
  std::swap(this->writing, this->outgoing);
  boost::system::error_code error;
  const std::size_t sent =
    this->socket.write_some(asio::buffer(this->writing), error);
  if (error && error != asio::error::would_block) {
    this->Close();
    this->flushing = false;
    return;
  }
  if (sent == this->writing.size()) {
    this->Flush();
    return;
  }
  asio::async_write(this->socket,
                    asio::buffer(this->writing) + sent,
                    [self = this->shared_from_this()](auto aError, auto) {
                      if (aError) {
                        self->Close();
                      }
                      self->Flush();
                    });
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
  }
  return message;
}

void
FrameConnection::Close()
{
  boost::system::error_code error;
  this->socket.close(error);
}

TimePoint
FrameConnection::UnansweredSince() const
{
  return this->unansweredSince == TimePoint{} ? Now() : this->unansweredSince;
}

}
