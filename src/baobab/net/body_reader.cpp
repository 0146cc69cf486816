#include "body_reader.hpp"

#include "baobab/net/clock.hpp"

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/fiber/operations.hpp>
#include <vector>

namespace baobab {
namespace {

namespace http = boost::beast::http;

/// Bytes that are read at once at most.
constexpr std::size_t kReadBytes = 16U << 10U;

/// Bytes that may lie in the socket or the buffer before they are counted.
constexpr std::size_t kUnreadBytes = kReceiveBufferBytes + 2 * kReadBytes;

/// Largest body with a known length that may use the reserve.
constexpr std::size_t kSmallBodyBytes = 64U << 10U;

/// Size of a body without a known length from which on its memory is not moved
/// any more while it grows.
constexpr std::size_t kLargeBodyBytes = 1U << 20U;

/// Capacity above which an empty buffer is freed.
constexpr std::size_t kMaxIdleBufferBytes = 16U << 10U;

/// Interval between checks whether a body that gives way has freed its memory,
/// and their number after which the next one gives way.
constexpr Duration kGiveWayCheck = std::chrono::milliseconds(1);
constexpr int kMaxGiveWayChecks = 32;

/// Unfinished bodies of this thread.
std::vector<BodyReader*>&
Unfinished()
{
  thread_local std::vector<BodyReader*> readers;
  return readers;
}

/// True if a body still holds memory after it was told to give way.
bool
AnyGivesWay()
{
  return std::ranges::any_of(Unfinished(), &BodyReader::GaveWay);
}

}

BodyReader::BodyReader(HttpChannel& aChannel,
                       bool aAlone,
                       RequestParser& aParser,
                       std::size_t aMaxBodyBytes,
                       std::size_t aMaxBufferBytes)
  : channel(aChannel)
  , alone(aAlone)
  , buffer(aChannel.Buffer())
  , parser(aParser)
  , maxBodyBytes(aMaxBodyBytes)
  , maxBufferBytes(aMaxBufferBytes)
{
}

BodyReader::~BodyReader()
{
  if (this->buffer.size() == 0 &&
      this->buffer.capacity() > kMaxIdleBufferBytes) {
    this->buffer.shrink_to_fit();
  }
}

IoResult
BodyReader::Read()
{
  if (this->parser.is_done()) {
    return {};
  }
  this->state.startedAt = Now();
  this->state.lastBytesAt = this->state.startedAt;
  if (const auto length = this->parser.content_length()) {
    this->state.length = static_cast<std::size_t>(*length);
  }
  const std::size_t before = this->buffer.max_size();
  this->buffer.max_size(std::max(this->buffer.size(), this->maxBufferBytes) +
                        kReadBytes);
  this->parser.eager(true);
  Unfinished().push_back(this);
  const IoResult result = this->ReadAll();
  std::erase(Unfinished(), this);
  this->buffer.max_size(before);
  if (!result) {
    this->Discard();
  } else {
    const std::string& body = this->parser.get().body();
    this->held.Account(ProcessMemory().Bounds().reservedCounts ? body.capacity()
                                                               : body.size());
  }
  return result;
}

IoResult
BodyReader::ReadAll()
{
  std::string& body = this->parser.get().body();
  while (!this->parser.is_done()) {
    if (!this->Reserve()) {
      return { boost::asio::error::no_memory };
    }
    const IoResult result = this->channel.Read(this->alone, [&](auto aHandler) {
      http::async_read_some(
        this->channel.Stream(), this->buffer, this->parser, aHandler);
    });
    if (this->gaveWay) {
      return { boost::asio::error::no_memory };
    }
    if (!result) {
      return result;
    }
    if (body.size() > this->state.arrived) {
      this->state.lastBytesAt = Now();
    }
    this->state.arrived = body.size();
    if (!this->state.length && body.size() > kLargeBodyBytes &&
        ProcessMemory().Bounds().Bounded()) {
      // Memory that was not written to is not in use. Growing step by step
      // would hold the body twice for a moment.
      body.reserve(this->maxBodyBytes);
    }
  }
  return {};
}

/// Takes the bytes of the next read from the ledger.
bool
BodyReader::Reserve()
{
  const bool small =
    this->state.length && *this->state.length <= kSmallBodyBytes;
  while (!this->held.TryHold(this->Needed(), small)) {
    if (!this->MakeRoom()) {
      this->gaveWay = true;
      return false;
    }
  }
  return true;
}

std::size_t
BodyReader::Needed() const
{
  const std::size_t ahead =
    this->state.length
      ? std::min(*this->state.length - this->state.arrived, kUnreadBytes)
      : kUnreadBytes;
  const std::size_t used = this->state.arrived + ahead;
  return ProcessMemory().Bounds().reservedCounts
           ? std::max(used, this->NeededReserve())
           : used;
}

/// Returns the memory that the body has reserved at most after the next read.
std::size_t
BodyReader::NeededReserve() const
{
  if (this->state.length) {
    return *this->state.length;
  }
  if (this->state.arrived > kLargeBodyBytes) {
    return this->maxBodyBytes;
  }
  // A growing string holds its old memory and twice as much for a moment.
  const std::size_t next = this->state.arrived + 2 * kReadBytes;
  return std::max(3 * next, next > kLargeBodyBytes ? this->maxBodyBytes : 0);
}

UnfinishedBody
BodyReader::State() const
{
  UnfinishedBody current = this->state;
  current.held = this->gaveWay ? 0 : this->held.Bytes();
  return current;
}

/// Lets another body give way. Returns false if this one has to.
bool
BodyReader::MakeRoom()
{
  const auto& readers = Unfinished();
  std::vector<UnfinishedBody> bodies;
  std::ranges::transform(readers,
                         std::back_inserter(bodies),
                         [](const auto* aReader) { return aReader->State(); });
  const auto self = static_cast<std::size_t>(std::ranges::find(readers, this) -
                                             readers.begin());
  const std::size_t chosen = ChooseToGiveWay(bodies, self, Now());
  if (chosen == self || this->gaveWay) {
    return false;
  }
  readers[chosen]->GiveWay();
  for (int i = 0; i < kMaxGiveWayChecks && !this->gaveWay && AnyGivesWay();
       ++i) {
    boost::this_fiber::sleep_for(kGiveWayCheck);
  }
  return !this->gaveWay;
}

void
BodyReader::GiveWay()
{
  this->gaveWay = true;
  this->channel.CancelRead();
}

void
BodyReader::Discard()
{
  std::string().swap(this->parser.get().body());
  this->buffer.clear();
  this->buffer.shrink_to_fit();
  this->held.Release();
}

}
