#include "response_check.hpp"

#include "baobab/core/http_syntax.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace baobab {
namespace {

constexpr unsigned kHttp10 = 10;

/// Returns true if a Transfer-Encoding field names `chunked` and nothing else.
/// No other coding is offered to servers.
bool
IsChunkedOnly(std::string_view aValue)
{
  const http::opt_token_list codings{ { aValue.data(), aValue.size() } };
  const auto first = codings.begin();
  return http::validate_list(codings) && first != codings.end() &&
         std::next(first) == codings.end() &&
         boost::beast::iequals(*first, "chunked");
}

bool
HasUnknownCoding(const http::response_header<>& aHead)
{
  return std::ranges::any_of(aHead, [&](const auto& aField) {
    return aField.name() == http::field::transfer_encoding &&
           (aHead.version() <= kHttp10 || !IsChunkedOnly(aField.value()));
  });
}

}

std::optional<std::string>
FindMalformedPart(const http::response_header<>& aHead,
                  std::string_view aMethod)
{
  const unsigned status = aHead.result_int();
  if (aHead.result() == http::status::switching_protocols) {
    return "switch to a protocol that was not requested";
  }
  if (!IsDefinedStatus(status)) {
    return "undefined status " + std::to_string(status);
  }
  if (!HasNoBody(aMethod, status) && HasUnknownCoding(aHead)) {
    return "transfer coding that was not offered";
  }
  return std::nullopt;
}

void
CheckChunkExtension(std::uint64_t /*aSize*/,
                    boost::beast::string_view aExtension,
                    boost::beast::error_code& aError)
{
  if (!IsFieldValue({ aExtension.data(), aExtension.size() })) {
    aError = http::error::bad_chunk_extension;
  }
}

}
