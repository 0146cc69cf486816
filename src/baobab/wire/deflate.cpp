#include "deflate.hpp"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <memory>

namespace baobab {
namespace {

namespace zlib = boost::beast::zlib;

zlib::z_params
MakeParams(std::string_view aInput, std::string& aOutput)
{
  zlib::z_params params;
  params.next_in = aInput.data();
  params.avail_in = aInput.size();
  params.next_out = aOutput.data();
  params.avail_out = aOutput.size();
  return params;
}

}

std::string
Deflate(std::string_view aText)
{
  // A small window limits the memory of the compressor.
  constexpr int kLevel = 6;
  constexpr int kWindowBits = 13;
  constexpr int kMemoryLevel = 4;
  const auto stream = std::make_unique<zlib::deflate_stream>();
  stream->reset(kLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
  std::string compressed(stream->upper_bound(aText.size()), '\0');
  zlib::z_params params = MakeParams(aText, compressed);
  boost::system::error_code error;
  stream->write(params, zlib::Flush::finish, error);
  compressed.resize(params.total_out);
  return compressed;
}

Result<std::string>
Inflate(std::string_view aCompressed, std::size_t aSize)
{
  const auto stream = std::make_unique<zlib::inflate_stream>();
  // One more byte than expected, to detect a text that is too long.
  std::string text(aSize + 1, '\0');
  zlib::z_params params = MakeParams(aCompressed, text);
  boost::system::error_code error;
  stream->write(params, zlib::Flush::finish, error);
  // If the end marker lies in the last bits, the stream may report that it
  // needs more input although the text is complete. Callers verify the text's
  // hash.
  const bool complete = !error || error == zlib::error::end_of_stream ||
                        error == zlib::error::need_buffers;
  if (!complete || params.total_out != aSize) {
    return Error{ ErrorKind::BadMessage, "compressed text is damaged", "" };
  }
  text.resize(aSize);
  return text;
}

}
