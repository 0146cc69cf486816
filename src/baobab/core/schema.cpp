#include "baobab/core/schema.hpp"

#include <cstdio>
#include <numeric>

namespace baobab::schema_detail {
namespace {

/// Levenshtein distance, used to suggest the key that was probably meant.
std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{ 0 });
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t substitution =
        diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ substitution, row[j] + 1, row[j + 1] + 1 });
    }
  }
  return row.back();
}

}

Error
WrongTypeError(std::string_view aType)
{
  return { ErrorKind::WrongType, "", "write " + std::string(aType) };
}

Error
OutOfRangeError(const std::string& aRange)
{
  return { ErrorKind::OutOfRange, "", "allowed: " + aRange };
}

std::string
FormatRange(const IntegerRange& aRange)
{
  return std::to_string(aRange.low) + " to " + std::to_string(aRange.high);
}

std::string
FormatReal(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%g", aValue);
  return text;
}

std::string
FormatList(const std::vector<std::string>& aItems)
{
  std::string text = "[";
  for (const std::string& item : aItems) {
    text += (text.size() > 1 ? ", \"" : "\"") + item + "\"";
  }
  return text + "]";
}

Error
UnknownKeyError(std::string_view aFile,
                const TomlEntry& aEntry,
                const std::vector<std::string>& aKnown)
{
  const auto closest =
    std::ranges::min_element(aKnown, {}, [&](const std::string& aKey) {
      return EditDistance(aKey, aEntry.key);
    });
  return { ErrorKind::UnknownKey,
           FormatLocation(aFile, aEntry) + ": unknown key '" + aEntry.key + "'",
           "remove it; did you mean '" + *closest + "'?" };
}

Error
MissingKeyError(std::string_view aFile, std::string_view aKey)
{
  return { ErrorKind::MissingKey,
           std::string(aFile) + ":1:1: key '" + std::string(aKey) +
             "' is missing",
           "add it" };
}

Error
WithLocation(std::string_view aFile,
             const TomlEntry& aEntry,
             const Error& aError)
{
  const std::string what =
    aError.kind == ErrorKind::OutOfRange ? "is out of range" : "is not valid";
  std::string message = FormatLocation(aFile, aEntry) + ": the value of '" +
                        aEntry.key + "' " + what;
  if (!aError.message.empty()) {
    message += ": " + aError.message;
  }
  return { aError.kind, std::move(message), aError.remedy };
}

}
