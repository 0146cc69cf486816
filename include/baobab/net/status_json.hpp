/// @file
/// Zone status as it is kept in the object store.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/decision/zone_status.hpp"

#include <string>
#include <string_view>

namespace baobab {

/// Prefix of the keys of zone status.
constexpr std::string_view kStatusPrefix = "status/";

/// Key of a zone's status.
std::string StatusKey(std::string_view aRegion, std::string_view aZone);

std::string EncodeStatus(const ZoneStatus& aStatus);

/// Fails with BadMessage.
Result<ZoneStatus> DecodeStatus(std::string_view aText);

}
