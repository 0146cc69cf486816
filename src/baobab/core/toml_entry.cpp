#include "baobab/core/toml_entry.hpp"

#include "toml_guard.hpp"

#include <algorithm>
#include <functional>
#include <optional>
// Invalid input must result in an error, but the library's assertions would
// abort the process.
#define TOML_ASSERT(aCondition) static_cast<void>(0)
#include <toml++/toml.h>

namespace baobab {
namespace {

std::string
FormatPosition(std::string_view aFile, const toml::source_position& aPosition)
{
  return std::string(aFile) + ":" + std::to_string(aPosition.line) + ":" +
         std::to_string(aPosition.column);
}

toml::source_position
PositionOf(std::string_view aText, std::size_t aOffset)
{
  const std::string_view before = aText.substr(0, aOffset);
  const auto lines = std::ranges::count(before, '\n');
  const auto start = before.rfind('\n') + 1;
  return { static_cast<toml::source_index>(lines + 1),
           static_cast<toml::source_index>(aOffset - start + 1) };
}

Error
SyntaxError(const toml::parse_error& aError, std::string_view aFile)
{
  return { ErrorKind::Syntax,
           FormatPosition(aFile, aError.source().begin) + ": " +
             std::string(aError.description()),
           "correct the TOML syntax at this location" };
}

/// Rejects non-ASCII characters outside strings and comments, for which the
/// library's behaviour is undefined. Strings can be located reliably only in a
/// valid document, so the document is first parsed with these characters
/// replaced.
std::optional<Error>
CheckNonAscii(std::string_view aText, std::string_view aFile)
{
  const auto isAscii = [](char aByte) {
    constexpr unsigned char kLastAscii = 0x7f;
    return static_cast<unsigned char>(aByte) <= kLastAscii;
  };
  if (std::ranges::all_of(aText, isAscii)) {
    return std::nullopt;
  }
  std::string masked(aText);
  std::ranges::replace_if(masked, std::not_fn(isAscii), 'x');
  const toml::parse_result parsed = toml::parse(masked, aFile);
  if (!parsed) {
    return SyntaxError(parsed.error(), aFile);
  }
  if (const auto offset = FindUnquotedNonAscii(aText)) {
    return Error{ ErrorKind::Syntax,
                  FormatPosition(aFile, PositionOf(aText, *offset)) +
                    ": non-ASCII character outside of a string",
                  "quote it or remove it" };
  }
  return std::nullopt;
}

std::optional<TomlValue>
ReadStringList(const toml::array& aArray)
{
  std::vector<std::string> items;
  for (const toml::node& item : aArray) {
    const auto* text = item.as_string();
    if (text == nullptr) {
      return std::nullopt;
    }
    items.push_back(text->get());
  }
  return items;
}

std::optional<TomlValue>
ReadValue(const toml::node& aNode)
{
  if (const auto* number = aNode.as_integer()) {
    return number->get();
  }
  if (const auto* real = aNode.as_floating_point()) {
    return real->get();
  }
  if (const auto* flag = aNode.as_boolean()) {
    return flag->get();
  }
  if (const auto* text = aNode.as_string()) {
    return text->get();
  }
  if (const auto* list = aNode.as_array()) {
    return ReadStringList(*list);
  }
  return std::nullopt;
}

/// Converts a table into entries with dotted keys.
class Flattener
{
public:
  explicit Flattener(std::string_view aFile)
    : file(aFile)
  {
  }

  Result<std::vector<TomlEntry>> Read(const toml::table& aTable)
  {
    if (auto error = this->Visit(aTable, "")) {
      return *error;
    }
    return std::move(this->entries);
  }

private:
  std::optional<Error> Visit(const toml::table& aTable,
                             const std::string& aPrefix)
  {
    for (const auto& [key, node] : aTable) {
      const std::string path = aPrefix + std::string(key.str());
      const auto& position = node.source().begin;
      if (const auto* nested = node.as_table()) {
        if (auto error = this->Visit(*nested, path + ".")) {
          return error;
        }
        continue;
      }
      if (const auto* list = node.as_array(); list && IsTableList(*list)) {
        if (auto error = this->VisitTables(*list, path)) {
          return error;
        }
        continue;
      }
      auto value = ReadValue(node);
      if (!value) {
        return Error{
          ErrorKind::WrongType,
          FormatPosition(this->file, position) + ": key '" + path +
            "' has an unsupported type",
          "use a number, a boolean, a string or a list of strings"
        };
      }
      this->entries.push_back(
        { path, std::move(*value), position.line, position.column });
    }
    return std::nullopt;
  }

  static bool IsTableList(const toml::array& aArray)
  {
    return !aArray.empty() && aArray.is_homogeneous<toml::table>();
  }

  std::optional<Error> VisitTables(const toml::array& aArray,
                                   const std::string& aPath)
  {
    for (std::size_t i = 0; i < aArray.size(); ++i) {
      const std::string prefix = aPath + "." + std::to_string(i) + ".";
      if (auto error = this->Visit(*aArray[i].as_table(), prefix)) {
        return error;
      }
    }
    return std::nullopt;
  }

  std::string_view file;
  std::vector<TomlEntry> entries;
};

}

Result<std::vector<TomlEntry>>
ReadToml(std::string_view aText, std::string_view aFile)
{
  if (auto error = CheckNonAscii(aText, aFile)) {
    return *error;
  }
  const toml::parse_result parsed = toml::parse(aText, aFile);
  if (!parsed) {
    return SyntaxError(parsed.error(), aFile);
  }
  return Flattener(aFile).Read(parsed.table());
}

std::string
FormatLocation(std::string_view aFile, const TomlEntry& aEntry)
{
  return std::string(aFile) + ":" + std::to_string(aEntry.line) + ":" +
         std::to_string(aEntry.column);
}

}
