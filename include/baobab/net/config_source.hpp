/// @file
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/core/time.hpp"
#include "baobab/decision/configuration.hpp"

#include <cstdint>
#include <optional>

namespace baobab {

/// Where published configurations come from. Used by one fiber at a time.
/// Both reads fail with StoreUnavailable, or with BadMessage if what is
/// published cannot be used.
class ConfigSource
{
public:
  virtual ~ConfigSource() = default;

  /// Reads what is published; nothing if it is not newer.
  /// @param aCurrent what is in force
  virtual Result<std::optional<ConfigDelta>> Read(
    const Configuration& aCurrent) = 0;

  /// Waits for something newer; nothing if the time passes.
  virtual Result<std::optional<ConfigDelta>> Watch(
    const Configuration& aCurrent,
    Duration aTime) = 0;

  /// Calls to the store since the start.
  virtual std::uint64_t Calls() const = 0;
};

}
