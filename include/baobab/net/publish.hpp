/// @file
/// Publishes service files to the object store.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/decision/manifest.hpp"
#include "baobab/net/manifest_json.hpp"
#include "baobab/net/object_store.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace baobab {

/// A checked service file.
struct ServiceFile
{
  std::string path;
  std::string text;
  ManifestEntry entry;
};

/// How publishing ended, if it did not fail.
struct PublishResult
{
  std::uint64_t generation = 0;
  /// False if everything was in force already.
  bool changed = false;
};

/// The manifest and the version under which it is stored.
struct ManifestSnapshot
{
  Manifest manifest;
  ObjectVersion version;
};

/// Reads the published manifest; an empty one if nothing was published.
template<ObjectStore S>
Result<ManifestSnapshot>
ReadManifest(S& aStore)
{
  auto object = aStore.Get(kManifestKey);
  if (!Succeeded(object)) {
    return Failure(object);
  }
  if (!Value(object)) {
    return ManifestSnapshot{};
  }
  auto manifest = DecodeManifest(Value(object)->value);
  if (!Succeeded(manifest)) {
    return Failure(manifest);
  }
  return ManifestSnapshot{ std::move(Value(manifest)), Value(object)->version };
}

namespace publish_detail {

/// Writes a file under its hash. A file that exists has the same content.
template<ObjectStore S>
Result<Done>
StoreFile(S& aStore, const ServiceFile& aFile)
{
  constexpr int kTries = 3;
  const std::string key = ServiceFileKey(aFile.entry.hash);
  Error last;
  for (int tries = 0; tries < kTries; ++tries) {
    auto put = aStore.Put(key, aFile.text, PutCondition{});
    if (Succeeded(put) || Failure(put).kind == ErrorKind::Conflict) {
      return Done{};
    }
    last = Failure(put);
    if (last.kind != ErrorKind::OutcomeUnknown) {
      break;
    }
  }
  last.kind = ErrorKind::StoreUnavailable;
  return last;
}

inline std::vector<ManifestEntry>
EntriesOf(const std::vector<ServiceFile>& aFiles)
{
  std::vector<ManifestEntry> entries;
  for (const ServiceFile& file : aFiles) {
    entries.push_back(file.entry);
  }
  return entries;
}

}

/// Publishes files: each under its hash, then the manifest by a conditional
/// update. Fails with Conflict if a file may not replace what is published,
/// with StoreUnavailable if nothing was published, and with OutcomeUnknown
/// if the store went away before it could be learned.
template<ObjectStore S>
Result<PublishResult>
Publish(S& aStore, const std::vector<ServiceFile>& aFiles)
{
  constexpr int kTries = 20;
  const std::vector<ManifestEntry> changes = publish_detail::EntriesOf(aFiles);
  bool mayHaveWritten = false;
  const auto fail = [&](Error aError) -> Result<PublishResult> {
    if (mayHaveWritten && aError.kind == ErrorKind::StoreUnavailable) {
      return Error{ ErrorKind::OutcomeUnknown,
                    "the store went away during publishing: " + aError.message,
                    "publish the same files again; it does no harm" };
    }
    return aError;
  };
  for (int tries = 0; tries < kTries; ++tries) {
    auto current = ReadManifest(aStore);
    if (!Succeeded(current)) {
      return fail(Failure(current));
    }
    const ManifestSnapshot& snapshot = Value(current);
    if (mayHaveWritten && Contains(snapshot.manifest, changes)) {
      return PublishResult{ snapshot.manifest.generation, true };
    }
    auto merged = MergeManifest(snapshot.manifest, changes);
    if (!Succeeded(merged)) {
      return Failure(merged);
    }
    if (Value(merged).generation == snapshot.manifest.generation) {
      return PublishResult{ snapshot.manifest.generation, false };
    }
    for (const ServiceFile& file : aFiles) {
      auto stored = publish_detail::StoreFile(aStore, file);
      if (!Succeeded(stored)) {
        return fail(Failure(stored));
      }
    }
    auto put = aStore.Put(kManifestKey,
                          EncodeManifest(Value(merged)),
                          PutCondition{ snapshot.version });
    if (Succeeded(put)) {
      return PublishResult{ Value(merged).generation, true };
    }
    const ErrorKind kind = Failure(put).kind;
    if (kind == ErrorKind::OutcomeUnknown) {
      // The write may still take effect; the loop reads, and writes again
      // under the same condition until one of the two is known.
      mayHaveWritten = true;
    } else if (kind != ErrorKind::Conflict) {
      return fail(Failure(put));
    }
  }
  return fail(Error{ ErrorKind::StoreUnavailable,
                     "others kept publishing at the same time",
                     "publish again" });
}

}
