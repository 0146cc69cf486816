/// @file
/// Checks of a response's head that the HTTP parser leaves to its user.
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

}
