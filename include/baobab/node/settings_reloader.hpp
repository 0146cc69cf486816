/// @file
#pragma once

#include "baobab/core/settings_change.hpp"

#include <functional>

namespace baobab {

/// Reads the settings file again.
struct SettingsReader
{
  /// Returns the settings of the file as it is now.
  std::function<Result<LoadedSettings>()> load;
  /// Returns something that changes whenever the file does.
  std::function<std::int64_t()> stamp;
};

/// Puts changes of the settings file in force while the daemon runs, whether a
/// signal tells of them or not. It belongs to the control thread.
class SettingsReloader
{
public:
  /// @param aApply takes over the live settings of a file that checks out
  SettingsReloader(const LoadedSettings& aStart,
                   SettingsReader aReader,
                   std::function<void(const Settings&)> aApply);

  /// Looks for changes until the process ends.
  void Run();

  /// Reads the file now.
  /// @param aAsked true if an unchanged file is confirmed in the log
  void Reload(bool aAsked);

private:
  std::vector<TomlEntry> entries;
  SettingsReader reader;
  std::function<void(const Settings&)> apply;
  std::int64_t stamp;
};

}
