#include "http_channel.hpp"

namespace baobab {
namespace {

constexpr std::size_t kReadBytes = 4096;

/// Bytes that are still read from a client after the last response, so that it
/// can read the response before the connection is closed.
constexpr std::size_t kLingerBytes = 1 << 20;
constexpr Duration kLingerTime = 1s;

}

HttpChannel::~HttpChannel()
{
  boost::system::error_code ignored;
  this->stream.shutdown(Tcp::socket::shutdown_both, ignored);
  this->stream.close(ignored);
}

IoResult
HttpChannel::ReadSome(bool aAlone)
{
  const IoResult result = this->Read(aAlone, [&](auto aHandler) {
    this->stream.async_read_some(this->buffer.prepare(kReadBytes), aHandler);
  });
  this->buffer.commit(result.bytes);
  return result;
}

void
HttpChannel::Linger()
{
  boost::system::error_code ignored;
  this->stream.shutdown(Tcp::socket::shutdown_send, ignored);
  this->SetReadDeadline(kLingerTime);
  for (std::size_t discarded = 0; discarded < kLingerBytes;) {
    this->buffer.clear();
    const IoResult result = this->ReadSome(true);
    if (!result) {
      return;
    }
    discarded += result.bytes;
  }
}

void
HttpChannel::CheckDeadlines(TimePoint aNow)
{
  if (aNow >= this->writeDeadline) {
    this->writeDeadline = TimePoint::max();
    this->stream.cancel();
  }
  if (aNow >= this->readDeadline) {
    this->ExpireRead();
  }
}

void
HttpChannel::ExpireRead()
{
  this->readDeadline = TimePoint::max();
  this->timedOut = true;
  this->CancelRead();
}

void
HttpChannel::CancelRead()
{
  if (this->readsAlone) {
    this->stream.cancel();
  } else {
    this->readCancellation.emit(boost::asio::cancellation_type::terminal);
  }
}

}
