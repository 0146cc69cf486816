/// @file
/// The manifest as it is kept in the object store.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/decision/manifest.hpp"

#include <string>
#include <string_view>

namespace baobab {

/// Key of the manifest.
constexpr std::string_view kManifestKey = "config/manifest";

/// Key of a service file by its content hash.
std::string ServiceFileKey(std::string_view aHash);

/// Key of the first peers of an availability zone.
std::string SeedKey(std::string_view aRegion, std::string_view aZone);

/// Prefix of the keys of first peers.
constexpr std::string_view kSeedPrefix = "members/";

std::string EncodeManifest(const Manifest& aManifest);

/// Fails with BadMessage.
Result<Manifest> DecodeManifest(std::string_view aText);

}
