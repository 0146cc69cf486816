/// @file
/// Syntax of HTTP header fields.
#pragma once

#include <string_view>

namespace baobab {

/// Compares header names without regard to case.
bool SameHeaderName(std::string_view aLeft, std::string_view aRight);

/// Returns true if a text is a token, as the names of fields are.
bool IsToken(std::string_view aText);

/// Returns true if a text has no control characters except tabs, as the values
/// of fields.
bool IsFieldValue(std::string_view aText);

}
