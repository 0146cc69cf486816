/// @file
#pragma once

#include <cstddef>
#include <cstdint>

namespace baobab {

/// Connections of callers.
struct CallerConnectionCounts
{
  /// Connections that may be open.
  std::int64_t bound = 0;
  std::size_t open = 0;
  /// Connections accepted since the start.
  std::uint64_t accepted = 0;
  /// Connections closed since the start to make room for others.
  std::uint64_t gaveWay = 0;
  /// Connections not accepted since the start because there was no room.
  std::uint64_t refused = 0;
};

}
