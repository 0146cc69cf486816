/// @file
#pragma once

#include "baobab/core/settings_change.hpp"

#include <functional>

namespace baobab {

/// Access to the settings file.
struct SettingsReader
{
  /// Reads and checks the file.
  std::function<Result<LoadedSettings>()> load;
  /// Returns a stamp, such as a modification time, that changes whenever the
  /// file does.
  std::function<std::int64_t()> stamp;
};

/// Applies changes of the settings file while the daemon runs, on a signal or
/// when the file is found to have changed. Used only on the control thread.
class SettingsReloader
{
public:
  /// @param aApply applies the settings of a valid file in which any live
  ///   setting has changed
  SettingsReloader(const LoadedSettings& aStart,
                   SettingsReader aReader,
                   std::function<void(const Settings&)> aApply);

  /// Polls the file for changes until the process ends.
  void Run();

  /// Reads the file now and applies its changes.
  /// @param aConfirm true to log the reload even if nothing has changed
  void Reload(bool aConfirm);

private:
  std::vector<TomlEntry> entries;
  SettingsReader reader;
  std::function<void(const Settings&)> apply;
  std::int64_t stamp;
};

}
