#include "baobab/decision/manifest.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <xxhash.h>

namespace baobab {
namespace {

Error
RevisionConflict(const ManifestEntry& aOld, const ManifestEntry& aNew)
{
  const std::string published = std::to_string(aOld.revision);
  const std::string next = std::to_string(aOld.revision + 1);
  if (aNew.revision < aOld.revision) {
    return { ErrorKind::Conflict,
             "service '" + aNew.name + "': revision " +
               std::to_string(aNew.revision) + " is older than the published " +
               published,
             "start from the published content and set 'revision' to " + next };
  }
  return { ErrorKind::Conflict,
           "service '" + aNew.name + "': revision " + published +
             " is already published with other content",
           "compare with --diff, merge, and set 'revision' to " + next };
}

}

std::string
ContentHash(std::string_view aText)
{
  const XXH128_hash_t hash = XXH3_128bits(aText.data(), aText.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text.data();
}

Result<Manifest>
MergeManifest(const Manifest& aCurrent,
              const std::vector<ManifestEntry>& aChanges)
{
  Manifest merged = aCurrent;
  const std::uint64_t next = aCurrent.generation + 1;
  bool changed = false;
  for (const ManifestEntry& change : aChanges) {
    const auto position = std::ranges::lower_bound(
      merged.entries, change.name, {}, &ManifestEntry::name);
    const bool isPublished =
      position != merged.entries.end() && position->name == change.name;
    if (isPublished && position->revision == change.revision &&
        position->hash == change.hash) {
      continue;
    }
    if (isPublished && change.revision <= position->revision) {
      return RevisionConflict(*position, change);
    }
    changed = true;
    ManifestEntry entry = change;
    entry.generation = next;
    if (isPublished) {
      *position = std::move(entry);
    } else {
      merged.entries.insert(position, std::move(entry));
    }
  }
  if (changed) {
    merged.generation = next;
  }
  return merged;
}

bool
Contains(const Manifest& aManifest, const std::vector<ManifestEntry>& aChanges)
{
  return std::ranges::all_of(aChanges, [&](const ManifestEntry& aChange) {
    const auto found =
      std::ranges::find(aManifest.entries, aChange.name, &ManifestEntry::name);
    return found != aManifest.entries.end() &&
           (found->revision > aChange.revision ||
            (found->revision == aChange.revision &&
             found->hash == aChange.hash));
  });
}

}
