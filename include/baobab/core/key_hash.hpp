/// @file
/// Hashes of the keys by which callers show to which workspace they belong.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace baobab {

constexpr std::size_t kKeyHashBytes = 32;

/// SHA-256 of a key.
using KeyHash = std::array<std::uint8_t, kKeyHashBytes>;

KeyHash HashKey(std::string_view aKey);

/// Reads 64 hexadecimal digits of either case; nothing if it is anything else.
std::optional<KeyHash> ParseKeyHash(std::string_view aText);

/// Returns the 64 lower-case hexadecimal digits of a hash.
std::string FormatKeyHash(const KeyHash& aHash);

/// Compares in a time that does not depend on the content.
bool SameKeyHash(const KeyHash& aLeft, const KeyHash& aRight);

}
