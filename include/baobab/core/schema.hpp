/// @file
/// Strict schemas for TOML documents. The same schemas validate files and
/// generate the reference pages.
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/result.hpp"
#include "baobab/core/time.hpp"
#include "baobab/core/toml_entry.hpp"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// Documentation of one key.
struct FieldHelp
{
  std::string key;
  std::string type;
  std::string unit;
  std::string defaultValue;
  std::string range;
  std::string help;
};

/// One key of a document of type T.
template<class T>
struct Field
{
  FieldHelp help;
  bool required = false;
  /// Stores a value; returns an error that says what is allowed if the value is
  /// not valid.
  std::function<std::optional<Error>(T&, const TomlValue&)> assign;
  /// True if a changed value takes effect without a restart.
  bool live = false;
};

/// Inclusive range of an integer.
struct IntegerRange
{
  std::int64_t low;
  std::int64_t high;
};

/// One value of an enumeration with its name in documents.
template<class E>
struct NamedValue
{
  std::string_view name;
  E value;
};

namespace schema_detail {

Error WrongTypeError(std::string_view aType);

Error OutOfRangeError(const std::string& aRange);

std::string FormatRange(const IntegerRange& aRange);

std::string FormatReal(double aValue);

std::string FormatList(const std::vector<std::string>& aItems);

Error UnknownKeyError(std::string_view aFile,
                      const TomlEntry& aEntry,
                      const std::vector<std::string>& aKnown);

Error MissingKeyError(std::string_view aFile, std::string_view aKey);

Error WithLocation(std::string_view aFile,
                   const TomlEntry& aEntry,
                   const Error& aError);

/// Builds a field that accepts an integer and converts it with aConvert to the
/// member's type.
template<class T, class Access, class Convert>
Field<T>
NumberField(FieldHelp aHelp,
            Access aAccess,
            IntegerRange aRange,
            Convert aConvert)
{
  aHelp.type = "integer";
  aHelp.range = FormatRange(aRange);
  return { std::move(aHelp),
           false,
           [=](T& aDocument, const TomlValue& aValue) -> std::optional<Error> {
             const auto* number = std::get_if<std::int64_t>(&aValue);
             if (number == nullptr) {
               return WrongTypeError("an integer");
             }
             if (*number < aRange.low || *number > aRange.high) {
               return OutOfRangeError(FormatRange(aRange));
             }
             aAccess(aDocument) = aConvert(*number);
             return std::nullopt;
           } };
}

}

/// An integer. @param aAccess returns a reference to the member
template<class T, class Access>
Field<T>
IntegerField(std::string aKey,
             Access aAccess,
             IntegerRange aRange,
             std::string aUnit,
             std::string aHelp)
{
  T defaults{};
  using Member = std::remove_reference_t<decltype(aAccess(defaults))>;
  return schema_detail::NumberField<T>(
    { std::move(aKey),
      "",
      std::move(aUnit),
      std::to_string(aAccess(defaults)),
      "",
      std::move(aHelp) },
    aAccess,
    aRange,
    [](std::int64_t aNumber) { return static_cast<Member>(aNumber); });
}

/// A duration, written as an integer in the unit of the member's type.
template<class T, class Access>
Field<T>
DurationField(std::string aKey,
              Access aAccess,
              IntegerRange aRange,
              std::string aUnit,
              std::string aHelp)
{
  T defaults{};
  using Member = std::remove_reference_t<decltype(aAccess(defaults))>;
  return schema_detail::NumberField<T>(
    { std::move(aKey),
      "",
      std::move(aUnit),
      std::to_string(aAccess(defaults).count()),
      "",
      std::move(aHelp) },
    aAccess,
    aRange,
    [](std::int64_t aNumber) { return Member(aNumber); });
}

/// A real number in an inclusive range.
template<class T, class Access>
Field<T>
RealField(std::string aKey,
          Access aAccess,
          double aLow,
          double aHigh,
          std::string aUnit,
          std::string aHelp)
{
  T defaults{};
  const std::string range =
    schema_detail::FormatReal(aLow) + " to " + schema_detail::FormatReal(aHigh);
  return { { std::move(aKey),
             "number",
             std::move(aUnit),
             schema_detail::FormatReal(aAccess(defaults)),
             range,
             std::move(aHelp) },
           false,
           [=](T& aDocument, const TomlValue& aValue) -> std::optional<Error> {
             double number = 0;
             if (const auto* real = std::get_if<double>(&aValue)) {
               number = *real;
             } else if (const auto* whole =
                          std::get_if<std::int64_t>(&aValue)) {
               number = static_cast<double>(*whole);
             } else {
               return schema_detail::WrongTypeError("a number");
             }
             if (!(number >= aLow && number <= aHigh)) {
               return schema_detail::OutOfRangeError(range);
             }
             aAccess(aDocument) = number;
             return std::nullopt;
           } };
}

/// A boolean, a string or a list of strings, as given by the member's type.
template<class T, class Access>
Field<T>
BasicField(std::string aKey, Access aAccess, std::string aHelp)
{
  T defaults{};
  using Member = std::remove_reference_t<decltype(aAccess(defaults))>;
  std::string type = "string";
  std::string defaultText;
  if constexpr (std::is_same_v<Member, bool>) {
    type = "boolean";
    defaultText = aAccess(defaults) ? "true" : "false";
  } else if constexpr (std::is_same_v<Member, std::string>) {
    defaultText = "\"" + aAccess(defaults) + "\"";
  } else {
    type = "list of strings";
    defaultText = schema_detail::FormatList(aAccess(defaults));
  }
  return { { std::move(aKey), type, "", defaultText, "", std::move(aHelp) },
           false,
           [=](T& aDocument, const TomlValue& aValue) -> std::optional<Error> {
             const auto* value = std::get_if<Member>(&aValue);
             if (value == nullptr) {
               return schema_detail::WrongTypeError("a " + type);
             }
             aAccess(aDocument) = *value;
             return std::nullopt;
           } };
}

/// A string that is converted by a parser, for example ParseEndpoint.
template<class T, class Access, class Parse>
Field<T>
ParsedField(std::string aKey,
            std::string aType,
            Access aAccess,
            Parse aParse,
            std::string aHelp)
{
  return { { std::move(aKey), std::move(aType), "", "", "", std::move(aHelp) },
           false,
           [=](T& aDocument, const TomlValue& aValue) -> std::optional<Error> {
             const auto* text = std::get_if<std::string>(&aValue);
             if (text == nullptr) {
               return schema_detail::WrongTypeError("a string");
             }
             auto parsed = aParse(*text);
             if (!Succeeded(parsed)) {
               return Failure(parsed);
             }
             aAccess(aDocument) = Value(parsed);
             return std::nullopt;
           } };
}

/// A string out of a fixed set of names.
template<class T, class E, class Access>
Field<T>
EnumField(std::string aKey,
          Access aAccess,
          std::vector<NamedValue<E>> aValues,
          std::string aHelp)
{
  T defaults{};
  std::string names;
  std::string defaultText;
  for (const auto& value : aValues) {
    names += (names.empty() ? "" : ", ") + std::string(value.name);
    if (value.value == aAccess(defaults)) {
      defaultText = "\"" + std::string(value.name) + "\"";
    }
  }
  return {
    { std::move(aKey), "string", "", defaultText, names, std::move(aHelp) },
    false,
    [=](T& aDocument, const TomlValue& aValue) -> std::optional<Error> {
      const auto* text = std::get_if<std::string>(&aValue);
      if (text == nullptr) {
        return schema_detail::WrongTypeError("a string");
      }
      const auto found = std::ranges::find(
        aValues, std::string_view(*text), &NamedValue<E>::name);
      if (found == aValues.end()) {
        return schema_detail::OutOfRangeError(names);
      }
      aAccess(aDocument) = found->value;
      return std::nullopt;
    }
  };
}

/// Marks a key as required, without a default.
template<class T>
Field<T>
Required(Field<T> aField)
{
  aField.required = true;
  aField.help.defaultValue = "required";
  return aField;
}

/// Marks a key whose changes take effect without a restart.
template<class T>
Field<T>
Live(Field<T> aField)
{
  aField.live = true;
  aField.help.help += " Changes take effect at once.";
  return aField;
}

/// Reads entries strictly: every key must be known and have a valid value, and
/// every required key must be present.
/// @param aFile file name for error messages
template<class T>
Result<T>
ReadEntries(const std::vector<Field<T>>& aSchema,
            const std::vector<TomlEntry>& aEntries,
            std::string_view aFile)
{
  T document{};
  for (const TomlEntry& entry : aEntries) {
    const auto field =
      std::ranges::find_if(aSchema, [&](const Field<T>& aField) {
        return aField.help.key == entry.key;
      });
    if (field == aSchema.end()) {
      std::vector<std::string> known;
      known.reserve(aSchema.size());
      for (const auto& candidate : aSchema) {
        known.push_back(candidate.help.key);
      }
      return schema_detail::UnknownKeyError(aFile, entry, known);
    }
    if (auto error = field->assign(document, entry.value)) {
      return schema_detail::WithLocation(aFile, entry, *error);
    }
  }
  for (const Field<T>& field : aSchema) {
    const bool present =
      std::ranges::any_of(aEntries, [&](const TomlEntry& aEntry) {
        return aEntry.key == field.help.key;
      });
    if (field.required && !present) {
      return schema_detail::MissingKeyError(aFile, field.help.key);
    }
  }
  return document;
}

/// Parses a TOML document and reads its entries, see ReadEntries.
template<class T>
Result<T>
ReadDocument(const std::vector<Field<T>>& aSchema,
             std::string_view aText,
             std::string_view aFile)
{
  const auto entries = ReadToml(aText, aFile);
  if (!Succeeded(entries)) {
    return Failure(entries);
  }
  return ReadEntries(aSchema, Value(entries), aFile);
}

/// Returns the reference table of a schema as Markdown.
template<class T>
std::string
ReferenceTable(const std::vector<Field<T>>& aSchema)
{
  std::string page = "| key | type | unit | default | range | meaning |\n"
                     "| --- | --- | --- | --- | --- | --- |\n";
  for (const Field<T>& field : aSchema) {
    const FieldHelp& help = field.help;
    page += "| `" + help.key + "` | " + help.type + " | " + help.unit + " | " +
            help.defaultValue + " | " + help.range + " | " + help.help + " |\n";
  }
  return page;
}

}
