/// @file
/// JSON encoding of the status of an availability zone in the object store.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/decision/zone_status.hpp"

#include <string>
#include <string_view>

namespace baobab {

/// Prefix of the store keys of zone statuses.
constexpr std::string_view kStatusPrefix = "status/";

/// Returns the store key of the status of an availability zone.
std::string StatusKey(std::string_view aRegion, std::string_view aZone);

/// Encodes a zone status as JSON.
std::string EncodeStatus(const ZoneStatus& aStatus);

/// Decodes a zone status. Fails with BadMessage.
Result<ZoneStatus> DecodeStatus(std::string_view aText);

}
