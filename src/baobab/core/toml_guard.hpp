/// @file
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace baobab {

/// Returns the offset of the first non-ASCII byte that is neither in a string
/// nor in a comment. TOML doesn't allow such bytes, and the behaviour of the
/// TOML library is undefined for them.
std::optional<std::size_t> FindUnquotedNonAscii(std::string_view aText);

}
