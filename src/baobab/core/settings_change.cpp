#include "baobab/core/settings_change.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace baobab {
namespace {

std::map<std::string, TomlValue>
ValuesByKey(const std::vector<TomlEntry>& aEntries)
{
  std::map<std::string, TomlValue> values;
  for (const TomlEntry& entry : aEntries) {
    values.emplace(entry.key, entry.value);
  }
  return values;
}

bool
IsLive(const std::string& aKey)
{
  const auto& schema = SettingsSchema();
  const auto field = std::ranges::find_if(
    schema, [&](const auto& aField) { return aField.help.key == aKey; });
  return field != schema.end() && field->live;
}

}

Result<LoadedSettings>
LoadSettings(std::string_view aText, std::string_view aFile)
{
  auto settings = ParseSettings(aText, aFile);
  if (!Succeeded(settings)) {
    return Failure(settings);
  }
  auto entries = ReadToml(aText, aFile);
  if (!Succeeded(entries)) {
    return Failure(entries);
  }
  return LoadedSettings{ std::move(Value(settings)),
                         std::move(Value(entries)) };
}

SettingsChange
ChangeBetween(const std::vector<TomlEntry>& aBefore,
              const std::vector<TomlEntry>& aAfter)
{
  const auto before = ValuesByKey(aBefore);
  const auto after = ValuesByKey(aAfter);
  std::set<std::string> keys;
  for (const auto* values : { &before, &after }) {
    for (const auto& [key, value] : *values) {
      keys.insert(key);
    }
  }
  const auto valueIn = [](const auto& aValues, const std::string& aKey) {
    const auto found = aValues.find(aKey);
    return found == aValues.end() ? std::optional<TomlValue>()
                                  : std::optional(found->second);
  };
  SettingsChange change;
  for (const std::string& key : keys) {
    if (valueIn(before, key) != valueIn(after, key)) {
      (IsLive(key) ? change.live : change.afterRestart).push_back(key);
    }
  }
  return change;
}

}
