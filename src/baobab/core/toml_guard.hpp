/// @file
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace baobab {

/// Finds the first byte beyond ASCII that stands neither in a string nor in a
/// comment. No document may have one, and the TOML library's behaviour there
/// is undefined.
std::optional<std::size_t> FindUnquotedNonAscii(std::string_view aText);

}
