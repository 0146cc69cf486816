/// @file
/// Syntax of HTTP header fields.
#pragma once

#include <string_view>

namespace baobab {

/// Returns true if a text is a token, as the names of fields are.
bool IsToken(std::string_view aText);

/// Returns true if a text has no control characters except tabs, as the values
/// of fields.
bool IsFieldValue(std::string_view aText);

}
