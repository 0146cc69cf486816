/// @file
#pragma once

#include "baobab/net/config_source.hpp"
#include "baobab/net/http_store.hpp"

namespace baobab {

/// Reads configurations as `baobab-publish` stores them: a manifest and the
/// service files that it names.
class ManifestSource : public ConfigSource
{
public:
  ManifestSource(boost::asio::io_context& aContext, const Endpoint& aStore);

  Result<std::optional<ConfigDelta>> Read(
    const Configuration& aCurrent) override;
  Result<std::optional<ConfigDelta>> Watch(const Configuration& aCurrent,
                                           Duration aTime) override;
  std::string Position() const override { return this->manifestVersion; }
  void Resume(std::string_view aPosition) override
  {
    this->manifestVersion = aPosition;
  }
  void Rewind() override { this->manifestVersion.clear(); }
  std::uint64_t Calls() const override { return this->store.Calls(); }

private:
  /// Decodes a manifest and reads what has changed since aCurrent.
  Result<std::optional<ConfigDelta>> Fetch(const StoredObject& aManifest,
                                           const Configuration& aCurrent);
  Result<ConfigDelta> FetchChanges(const Manifest& aManifest,
                                   std::uint64_t aBaseGeneration);

  HttpStore store;
  ObjectVersion manifestVersion;
};

}
