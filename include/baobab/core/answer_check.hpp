/// @file
/// Checks of answers that did not come by HTTP.
#pragma once

#include "baobab/core/http_message.hpp"

#include <optional>
#include <string>

namespace baobab {

/// Returns what is malformed in a final response, so that HTTP cannot carry it;
/// nothing if it is valid.
std::optional<std::string> FindMalformedPart(const Response& aResponse);

}
