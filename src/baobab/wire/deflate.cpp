#include "deflate.hpp"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <memory>

namespace baobab {
namespace {

namespace zlib = boost::beast::zlib;

zlib::z_params
Params(std::string_view aInput, std::string& aOutput)
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
  // A small window keeps the compressor's memory small.
  constexpr int kLevel = 6;
  constexpr int kWindowBits = 13;
  constexpr int kMemoryLevel = 4;
  const auto stream = std::make_unique<zlib::deflate_stream>();
  stream->reset(kLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
  std::string packed(stream->upper_bound(aText.size()), '\0');
  zlib::z_params params = Params(aText, packed);
  boost::system::error_code error;
  stream->write(params, zlib::Flush::finish, error);
  packed.resize(params.total_out);
  return packed;
}

Result<std::string>
Inflate(std::string_view aPacked, std::size_t aSize)
{
  const auto stream = std::make_unique<zlib::inflate_stream>();
  // One byte more, so that a text that is too long is noticed.
  std::string text(aSize + 1, '\0');
  zlib::z_params params = Params(aPacked, text);
  boost::system::error_code error;
  stream->write(params, zlib::Flush::finish, error);
  // The stream may ask for more input although all of the text is there, when
  // its end mark falls on the last bits; callers compare the text's hash.
  const bool whole = !error || error == zlib::error::end_of_stream ||
                     error == zlib::error::need_buffers;
  if (!whole || params.total_out != aSize) {
    return Error{ ErrorKind::BadMessage, "compressed text is damaged", "" };
  }
  text.resize(aSize);
  return text;
}

}
