/// @file
/// Checks of a response's head that the HTTP parser leaves to its user.
#pragma once

#include "http_convert.hpp"

#include <optional>
#include <string>

namespace baobab {

/// Returns what is malformed in a head; nothing if it is valid.
std::optional<std::string> FindMalformedPart(
  const http::response_header<>& aHead);

}
