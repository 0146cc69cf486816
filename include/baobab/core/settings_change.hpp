/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/core/toml_entry.hpp"

#include <string>
#include <vector>

namespace baobab {

/// A settings file as it was read.
struct LoadedSettings
{
  Settings settings;
  std::vector<TomlEntry> entries;
};

/// Parses and checks a settings file, see ParseSettings.
Result<LoadedSettings> LoadSettings(std::string_view aText,
                                    std::string_view aFile);

/// Keys whose values differ between two files, sorted.
struct SettingsChange
{
  /// Keys that take effect at once.
  std::vector<std::string> live;
  /// Keys that take effect with the next start.
  std::vector<std::string> afterRestart;

  bool Empty() const
  {
    return this->live.empty() && this->afterRestart.empty();
  }
};

SettingsChange ChangeBetween(const std::vector<TomlEntry>& aBefore,
                             const std::vector<TomlEntry>& aAfter);

}
