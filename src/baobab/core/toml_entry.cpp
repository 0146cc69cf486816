#include "baobab/core/toml_entry.hpp"

#include <algorithm>
#include <optional>
#include <toml++/toml.h>

namespace baobab {
namespace {

std::string
PlaceOf(std::string_view aFile, const toml::source_position& aPosition)
{
  return std::string(aFile) + ":" + std::to_string(aPosition.line) + ":" +
         std::to_string(aPosition.column);
}

std::optional<TomlValue>
ReadList(const toml::array& aArray)
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
    return ReadList(*list);
  }
  return std::nullopt;
}

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
          PlaceOf(this->file, position) + ": key '" + path +
            "' has a type that is never valid here",
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
  const toml::parse_result parsed = toml::parse(aText, aFile);
  if (!parsed) {
    const auto& error = parsed.error();
    return Error{ ErrorKind::Syntax,
                  PlaceOf(aFile, error.source().begin) + ": " +
                    std::string(error.description()),
                  "correct the TOML syntax at this place" };
  }
  return Flattener(aFile).Read(parsed.table());
}

std::string
Place(std::string_view aFile, const TomlEntry& aEntry)
{
  return std::string(aFile) + ":" + std::to_string(aEntry.line) + ":" +
         std::to_string(aEntry.column);
}

}
