/// @file
/// The socket of an HTTP connection with its buffer and time limits.
#pragma once

#include "baobab/core/time.hpp"
#include "baobab/net/clock.hpp"
#include "baobab/net/socket.hpp"
#include "http_convert.hpp"

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <utility>

namespace baobab {

/// Reads and writes on one connection. One fiber may read while another one
/// writes.
class HttpChannel
{
public:
  explicit HttpChannel(Tcp::socket aSocket)
    : stream(std::move(aSocket))
  {
  }

  HttpChannel(const HttpChannel&) = delete;
  HttpChannel& operator=(const HttpChannel&) = delete;
  ~HttpChannel();

  /// Runs an operation that reads. It fails at the read deadline.
  /// @param aAlone true if no other fiber uses the connection; otherwise only
  ///   this operation is cancelled at the deadline
  template<class Start>
  IoResult Read(bool aAlone, Start aStart)
  {
    // The deadline may have passed while nothing was read.
    if (this->timedOut) {
      return { boost::asio::error::timed_out };
    }
    this->reading = true;
    this->readsAlone = aAlone;
    const IoResult result = Await([&](auto aHandler) {
      if (aAlone) {
        aStart(aHandler);
      } else {
        aStart(boost::asio::bind_cancellation_slot(
          this->readCancellation.slot(), aHandler));
      }
    });
    this->reading = false;
    return result;
  }

  /// Reads what is there into the buffer, or waits for it.
  IoResult ReadSome(bool aAlone);

  /// Writes a message, for no longer than a time.
  template<class Message>
  IoResult Write(const Message& aMessage, Duration aTime)
  {
    this->writeDeadline = Now() + aTime;
    http::response_serializer<typename Message::body_type> serializer(aMessage);
    const IoResult result = Await([&](auto aHandler) {
      http::async_write(this->stream, serializer, aHandler);
    });
    this->writeDeadline = TimePoint::max();
    return result;
  }

  /// Tells the client that no more is sent, and discards what it still sends.
  /// Closing the connection with unread data would reset it before the client
  /// has read the response.
  void Linger();

  void SetReadDeadline(Duration aTime)
  {
    this->readDeadline = Now() + aTime;
    this->timedOut = false;
  }

  void ClearReadDeadline() { this->readDeadline = TimePoint::max(); }

  /// Cancels the operations whose deadline has passed.
  void CheckDeadlines(TimePoint aNow);

  /// Cancels reading, but not what another fiber writes.
  void CancelRead();

  /// Cancels reading as if its deadline had passed.
  void ExpireRead();

  TimePoint Deadline() const
  {
    return std::min(this->readDeadline, this->writeDeadline);
  }

  /// True while an operation reads.
  bool Reading() const { return this->reading; }

  /// True if the read deadline has passed since it was set.
  bool TimedOut() const { return this->timedOut; }

  Tcp::socket& Stream() { return this->stream; }
  boost::beast::flat_buffer& Buffer() { return this->buffer; }

private:
  /// Bytes that are buffered at most: the largest head that can be configured,
  /// and as much as is read at once. A chunk extension has no other limit.
  static constexpr std::size_t kMaxBufferBytes = (1U << 20U) + (128U << 10U);

  Tcp::socket stream;
  boost::beast::flat_buffer buffer{ kMaxBufferBytes };
  boost::asio::cancellation_signal readCancellation;
  TimePoint readDeadline = TimePoint::max();
  TimePoint writeDeadline = TimePoint::max();
  bool reading = false;
  bool readsAlone = true;
  bool timedOut = false;
};

}
