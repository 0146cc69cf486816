/// @file
/// TOML documents read into flat lists of dotted keys.
#pragma once

#include "baobab/core/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace baobab {

using TomlValue = std::
  variant<std::int64_t, double, bool, std::string, std::vector<std::string>>;

/// One key with its value and its location in the file.
struct TomlEntry
{
  /// Dotted key, for example `limits.queue_ms`. A key in an array of tables
  /// contains the table's index, for example `routes.0.host`.
  std::string key;
  TomlValue value;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
};

/// Reads a document into entries, sorted by key at each level.
/// Fails with Syntax, or with WrongType for a value that TomlValue can't hold.
/// @param aText the document
/// @param aFile file name for error messages
Result<std::vector<TomlEntry>> ReadToml(std::string_view aText,
                                        std::string_view aFile);

/// Returns `file:line:column`.
std::string FormatLocation(std::string_view aFile, const TomlEntry& aEntry);

}
