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

/// The changes from one generation to another, with the service files.
struct ConfigDelta
{
  /// The delta has every change after this generation. At 0 it is the whole
  /// configuration: a service that it does not list no longer exists.
  std::uint64_t base = 0;
  std::uint64_t generation = 0;
  std::vector<ManifestEntry> entries;
  /// Content of each entry, in the same order.
  std::vector<std::string> texts;
  /// Digest of the resulting configuration; 0 if not known.
  std::uint64_t digest = 0;
};

/// One complete generation of the configuration. Immutable.
class Configuration
{
public:
  std::uint64_t Generation() const { return this->generation; }

  /// Services by name, retired ones included.
  const std::vector<std::shared_ptr<const ConfiguredService>>& Services() const
  {
    return this->services;
  }

  /// Returns the configuration that results from a delta. Fails with Conflict
  /// if its generation is not higher than this one; with MissingKey, which
  /// means that the whole configuration is needed, if it begins after this
  /// generation or its digest does not match the result; with other errors if
  /// files are missing, do not match their hashes or are invalid, or if
  /// workspaces of different files conflict.
  Result<Configuration> Apply(const ConfigDelta& aDelta) const;

  /// Returns a hash of the services that are not retired.
  std::uint64_t Digest() const;

  /// Returns every change after a generation.
  ConfigDelta DeltaSince(std::uint64_t aGeneration) const;

private:
  std::shared_ptr<const ConfiguredService> FindUnchanged(
    const ManifestEntry& aEntry) const;

  std::uint64_t generation = 0;
  std::vector<std::shared_ptr<const ConfiguredService>> services;
};

}
