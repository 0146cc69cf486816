#include "baobab/net/manifest_source.hpp"

#include "baobab/net/manifest_json.hpp"

namespace baobab {
namespace {

constexpr Duration kStoreTimeout = 3s;

Error
OldStateError()
{
  return { ErrorKind::StoreUnavailable,
           "the object store shows an older configuration than the one in "
           "force",
           "check whether it was restored from a backup or answers from a "
           "stale replica" };
}

}

ManifestSource::ManifestSource(boost::asio::io_context& aContext,
                               const Endpoint& aStore)
  : store(aContext, aStore, kStoreTimeout)
{
}

Result<std::optional<ConfigDelta>>
ManifestSource::Read(const Configuration& aCurrent)
{
  auto manifest = this->store.Get(kManifestKey);
  if (!Succeeded(manifest)) {
    return Failure(manifest);
  }
  if (!Value(manifest)) {
    return std::nullopt;
  }
  return this->Fetch(*Value(manifest), aCurrent);
}

Result<std::optional<ConfigDelta>>
ManifestSource::Watch(const Configuration& aCurrent, Duration aTime)
{
  auto changed = this->store.Watch(kManifestKey, this->manifestVersion, aTime);
  if (!Succeeded(changed)) {
    return Failure(changed);
  }
  if (!Value(changed)) {
    return std::nullopt;
  }
  return this->Fetch(*Value(changed), aCurrent);
}

Result<std::optional<ConfigDelta>>
ManifestSource::Fetch(const StoredObject& aManifest,
                      const Configuration& aCurrent)
{
  auto manifest = DecodeManifest(aManifest.value);
  if (!Succeeded(manifest)) {
    return Failure(manifest);
  }
  if (Value(manifest).generation < aCurrent.Generation()) {
    return OldStateError();
  }
  if (Value(manifest).generation == aCurrent.Generation()) {
    this->manifestVersion = aManifest.version;
    return std::nullopt;
  }
  auto delta = this->FetchChanges(Value(manifest), aCurrent.Generation());
  if (!Succeeded(delta)) {
    return Failure(delta);
  }
  this->manifestVersion = aManifest.version;
  return std::move(Value(delta));
}

Result<ConfigDelta>
ManifestSource::FetchChanges(const Manifest& aManifest,
                             std::uint64_t aBaseGeneration)
{
  ConfigDelta delta{ aBaseGeneration, aManifest.generation, {}, {} };
  for (const ManifestEntry& entry : aManifest.entries) {
    if (entry.generation <= delta.base) {
      continue;
    }
    auto file = this->store.Get(ServiceFileKey(entry.hash));
    if (!Succeeded(file)) {
      return Failure(file);
    }
    if (!Value(file)) {
      return Error{ ErrorKind::NotFound,
                    "the file of service '" + entry.name +
                      "' is missing in the object store",
                    "publish it again" };
    }
    delta.entries.push_back(entry);
    delta.texts.push_back(std::move(Value(file)->value));
  }
  return delta;
}

}
