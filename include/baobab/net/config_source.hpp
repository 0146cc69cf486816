/// @file
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/core/time.hpp"
#include "baobab/decision/configuration.hpp"

#include <cstdint>
#include <optional>

namespace baobab {

/// Source of published configurations. Used by one fiber at a time. Read and
/// Watch fail with StoreUnavailable, with BadMessage if the published manifest
/// is invalid, and with NotFound if a service file that it names is missing.
class ConfigSource
{
public:
  virtual ~ConfigSource() = default;

  /// Reads the published configuration.
  /// @param aCurrent configuration in force
  /// @return the changes since aCurrent, or nothing if there is no newer one
  virtual Result<std::optional<ConfigDelta>> Read(
    const Configuration& aCurrent) = 0;

  /// Waits for a configuration newer than aCurrent.
  /// @param aTime longest wait
  /// @return the changes since aCurrent, or nothing if the time has passed
  virtual Result<std::optional<ConfigDelta>> Watch(
    const Configuration& aCurrent,
    Duration aTime) = 0;

  /// Number of requests sent to the store so far.
  virtual std::uint64_t Calls() const = 0;
};

}
