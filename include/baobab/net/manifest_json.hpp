/// @file
/// JSON encoding of the manifest in the object store, and store keys of
/// configuration objects.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/decision/manifest.hpp"

#include <string>
#include <string_view>

namespace baobab {

/// Store key of the manifest.
constexpr std::string_view kManifestKey = "config/manifest";

/// Returns the store key of a service file with a content hash.
std::string ServiceFileKey(std::string_view aHash);

/// Returns the store key of the seed peers of an availability zone.
std::string SeedKey(std::string_view aRegion, std::string_view aZone);

/// Prefix of the store keys of seed peers.
constexpr std::string_view kSeedPrefix = "members/";

/// Encodes a manifest as JSON.
std::string EncodeManifest(const Manifest& aManifest);

/// Decodes a manifest. Fails with BadMessage.
Result<Manifest> DecodeManifest(std::string_view aText);

}
