/// @file
/// Text form of suspicions, kept in the object store.
#pragma once

#include "baobab/decision/suspicion.hpp"

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// Time of day, which daemons share within their clocks' skew.
using WallTime = std::chrono::system_clock::time_point;

/// Returns one line for each suspicion: fingerprint, crash, weight and the time
/// at which it expires in milliseconds since the epoch.
std::string FormatSuspicions(std::span<const Suspicion> aSuspicions,
                             WallTime aNow);

/// Parses the text form. Skips lines that are malformed or have expired.
std::vector<Suspicion> ParseSuspicions(std::string_view aText, WallTime aNow);

/// Merges the suspicions held here into a stored list: adds those that are
/// missing and drops those that were cleared. The ones that expire last remain
/// if there are too many.
/// @param aCleared suspicions known to be cleared
std::vector<Suspicion> MergeSuspicions(std::vector<Suspicion> aStored,
                                       std::span<const Suspicion> aHeld,
                                       std::span<const Suspicion> aCleared);

}
