/// @file
/// Reads the bodies of requests within the memory of the process.
#pragma once

#include "baobab/core/memory_ledger.hpp"
#include "baobab/decision/unfinished_body.hpp"
#include "http_channel.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace baobab {

using RequestParser =
  boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Reads the body of one request. Its bytes are taken from the ledger before
/// they are read. If there are none left, an unfinished body of this thread
/// gives way, which may be this one.
class BodyReader
{
public:
  /// @param aAlone true if no other fiber uses the connection
  /// @param aMaxBodyBytes largest size of the body
  /// @param aMaxBufferBytes largest size of a chunk header or of the trailers
  BodyReader(HttpChannel& aChannel,
             bool aAlone,
             RequestParser& aParser,
             std::size_t aMaxBodyBytes,
             std::size_t aMaxBufferBytes);
  BodyReader(const BodyReader&) = delete;
  BodyReader& operator=(const BodyReader&) = delete;
  ~BodyReader();

  /// Reads until the body is complete. After a failure it holds no memory.
  IoResult Read();

  /// True if the body was given up for lack of memory.
  bool GaveWay() const { return this->gaveWay; }

  /// Returns what the complete body holds.
  HeldMemory TakeHeld() { return std::move(this->held); }

private:
  IoResult ReadAll();
  bool Reserve();
  bool MakeRoom();
  std::size_t Needed() const;
  std::size_t NeededReserve() const;
  UnfinishedBody State() const;
  void GiveWay();
  void Discard();

  HttpChannel& channel;
  bool alone;
  boost::beast::flat_buffer& buffer;
  RequestParser& parser;
  std::size_t maxBodyBytes;
  std::size_t maxBufferBytes;
  UnfinishedBody state;
  HeldMemory held{ MemoryPart::Requests };
  bool gaveWay = false;
};

}
