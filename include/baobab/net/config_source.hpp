/// @file
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/core/time.hpp"
#include "baobab/decision/configuration.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace baobab {

/// Source of published configurations. Used by one fiber at a time. Read and
/// Watch fail with StoreUnavailable, also if the store shows an older state
/// than before that has no newer configuration; with BadMessage if the
/// published manifest is invalid; and with NotFound if a service file that it
/// names, or the history since the position, is missing.
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

  /// Position in the store's history up to which the last successful call has
  /// seen changes; empty before it, and if the store's state was older than one
  /// seen before.
  virtual std::string Position() const = 0;

  /// Returns the history that a position belongs to. A higher one than before:
  /// the store has lost writes that it had acknowledged. 0: not known.
  virtual std::uint64_t HistoryOf(std::string_view /*aPosition*/) const
  {
    return 0;
  }

  /// Continues from a position that a source of the same store returned, so
  /// that Watch asks only for later changes. An invalid one is ignored.
  virtual void Resume(std::string_view aPosition) = 0;

  /// Makes the next call read everything, because what the last one returned
  /// did not come into force.
  virtual void Rewind() = 0;

  /// Number of requests sent to the store so far.
  virtual std::uint64_t Calls() const = 0;
};

}
