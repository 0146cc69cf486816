/// @file
/// The published set of service files.
#pragma once

#include "baobab/core/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// One published service.
struct ManifestEntry
{
  std::string name;
  std::int64_t revision = 0;
  /// Content hash, under which the file is stored.
  std::string hash;
  /// Generation in which this entry last changed.
  std::uint64_t generation = 0;

  bool operator==(const ManifestEntry&) const = default;
};

/// All published services. Each change increases the generation.
struct Manifest
{
  std::uint64_t generation = 0;
  /// Sorted by name.
  std::vector<ManifestEntry> entries;

  bool operator==(const Manifest&) const = default;
};

/// Returns the hash under which a service file is stored.
std::string ContentHash(std::string_view aText);

/// Merges changes into the published set. Entries of other services stay.
/// Fails with Conflict if a change has a lower revision than the published
/// one, or the same revision with other content. An unchanged set keeps its
/// generation.
/// @param aChanges name, revision and hash of each file
Result<Manifest> MergeManifest(const Manifest& aCurrent,
                               const std::vector<ManifestEntry>& aChanges);

/// True if the manifest has every change or a later revision of it.
bool Contains(const Manifest& aManifest,
              const std::vector<ManifestEntry>& aChanges);

}
