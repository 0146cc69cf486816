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

/// A validated service file.
struct ServiceFile
{
  std::string path;
  std::string text;
  ManifestEntry entry;
};

/// Result of a successful publication.
struct PublishResult
{
  std::uint64_t generation = 0;
  /// False if the files were published already.
  bool changed = false;
};

/// A manifest and its version in the store.
struct ManifestSnapshot
{
  Manifest manifest;
  ObjectVersion version;
};

/// Reads the published manifest. It is empty if nothing has been published.
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

/// Stores a file under its content hash. A conflict means that it is stored
/// already.
template<ObjectStore S>
Result<Done>
StoreFile(S& aStore, const ServiceFile& aFile)
{
  constexpr int kMaxTries = 3;
  const std::string key = ServiceFileKey(aFile.entry.hash);
  Error last;
  for (int tries = 0; tries < kMaxTries; ++tries) {
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

/// Publishes service files: stores each under its content hash, then adds them
/// to the manifest with a conditional update. Fails with Conflict if a file
/// may not replace the published one, with StoreUnavailable if nothing was
/// published, and with OutcomeUnknown if the manifest may have been written
/// but the store failed before this could be confirmed. Fails with BadMessage
/// if the published manifest cannot be decoded.
template<ObjectStore S>
Result<PublishResult>
Publish(S& aStore, const std::vector<ServiceFile>& aFiles)
{
  constexpr int kMaxTries = 20;
  const std::vector<ManifestEntry> changes = publish_detail::EntriesOf(aFiles);
  bool mayHaveWritten = false;
  const auto fail = [&](Error aError) -> Result<PublishResult> {
    if (mayHaveWritten && aError.kind == ErrorKind::StoreUnavailable) {
      return Error{ ErrorKind::OutcomeUnknown,
                    "the store became unavailable during publishing: " +
                      aError.message,
                    "publish the same files again; this is safe" };
    }
    return aError;
  };
  for (int tries = 0; tries < kMaxTries; ++tries) {
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
      // The write may still take effect. The next iteration reads the manifest
      // and, if the write is not there, repeats it under the same condition.
      mayHaveWritten = true;
    } else if (kind != ErrorKind::Conflict) {
      return fail(Failure(put));
    }
  }
  return fail(Error{ ErrorKind::StoreUnavailable,
                     "the manifest was changed by other publishers during "
                     "each attempt",
                     "publish again" });
}

}
