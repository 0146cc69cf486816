/// @file
#pragma once

#include "baobab/core/settings.hpp"
#include "baobab/core/toml_entry.hpp"

#include <string>
#include <vector>

namespace baobab {

/// A settings file, parsed and as a list of its entries.
struct LoadedSettings
{
  Settings settings;
  std::vector<TomlEntry> entries;
};

/// Parses and checks a settings file, see ParseSettings.
Result<LoadedSettings> LoadSettings(std::string_view aText,
                                    std::string_view aFile);

/// Keys whose values differ between two settings files, sorted.
struct SettingsChange
{
  /// Keys whose new values take effect at once.
  std::vector<std::string> live;
  /// Keys whose new values take effect at the next start.
  std::vector<std::string> afterRestart;

  bool Empty() const
  {
    return this->live.empty() && this->afterRestart.empty();
  }
};

/// Compares the entries of two settings files.
SettingsChange ChangeBetween(const std::vector<TomlEntry>& aBefore,
                             const std::vector<TomlEntry>& aAfter);

}
