/// @file
/// The configuration in force at a daemon.
#pragma once

#include "baobab/core/service.hpp"
#include "baobab/decision/manifest.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace baobab {

/// A published service with its file.
struct ConfiguredService
{
  ManifestEntry entry;
  std::string text;
  ServiceSpec spec;
};

/// The changes from one generation to another, with the files.
struct ConfigDelta
{
  /// The delta holds every change after this generation; at 0 it is the
  /// whole configuration, and what it does not hold is gone.
  std::uint64_t base = 0;
  std::uint64_t generation = 0;
  std::vector<ManifestEntry> entries;
  /// Content of each entry, in the same order.
  std::vector<std::string> texts;
  /// Digest of the configuration that the delta leads to; 0 if not known.
  std::uint64_t digest = 0;
};

/// One whole generation. Never changed once built.
class Configuration
{
public:
  std::uint64_t Generation() const { return this->generation; }

  /// Services sorted by name, retired ones included.
  const std::vector<std::shared_ptr<const ConfiguredService>>& Services() const
  {
    return this->services;
  }

  /// Returns the configuration after a delta. Fails, and changes nothing, if
  /// the delta does not lead to a higher generation (Conflict), leaves a gap
  /// or leads to another digest (MissingKey: the whole configuration is
  /// needed), or if a file does not match its hash or does not check out.
  Result<Configuration> Apply(const ConfigDelta& aDelta) const;

  /// Returns a hash of the services in force.
  std::uint64_t Digest() const;

  /// Returns every change after a generation.
  ConfigDelta DeltaSince(std::uint64_t aGeneration) const;

private:
  std::shared_ptr<const ConfiguredService> Known(
    const ManifestEntry& aEntry) const;

  std::uint64_t generation = 0;
  std::vector<std::shared_ptr<const ConfiguredService>> services;
};

}
