/// @file
/// Checks of a response that the HTTP parser leaves to its user.
#pragma once

#include "http_convert.hpp"

#include <optional>
#include <string>

namespace baobab {

/// Returns what is malformed in the head of a response; nothing if it is valid.
/// @param aMethod method of the request
std::optional<std::string> FindMalformedPart(
  const http::response_header<>& aHead,
  std::string_view aMethod);

/// Callback of the parser for each chunk's head. Fails for extensions with
/// control characters, which the parser accepts within quotes.
void CheckChunkExtension(std::uint64_t aSize,
                         boost::beast::string_view aExtension,
                         boost::beast::error_code& aError);

}
