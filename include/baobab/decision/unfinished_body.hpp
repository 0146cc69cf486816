/// @file
/// Which request gives way when the memory for requests runs out.
#pragma once

#include "baobab/core/time.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace baobab {

/// A request whose body has not arrived completely.
struct UnfinishedBody
{
  TimePoint startedAt;
  /// Time at which its last bytes arrived.
  TimePoint lastBytesAt;
  /// Bytes that arrived.
  std::size_t arrived = 0;
  /// Announced length; nothing if its end is not known.
  std::optional<std::size_t> length;
  /// Bytes that it holds in memory.
  std::size_t held = 0;
};

/// Time without bytes after which a body counts as stalled.
constexpr Duration kBodyStall = std::chrono::seconds(1);

/// Returns the index of the body that gives way: first one that stalls, the
/// longest one of them, then the least complete one, of several the newest.
/// Bodies that hold nothing are left out, except the one that asks.
/// @param aAsking index of the body that needs more memory
std::size_t ChooseToGiveWay(std::span<const UnfinishedBody> aBodies,
                            std::size_t aAsking,
                            TimePoint aNow);

}
