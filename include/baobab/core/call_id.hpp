/// @file
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace baobab {

/// Identity of one attempt of a call between two daemons.
struct CallId
{
  /// Random number of the sending link end, new at each start of a process.
  std::uint64_t sender = 0;
  /// Rises by one with each attempt of that sender.
  std::uint64_t sequence = 0;

  auto operator<=>(const CallId&) const = default;
};

/// Returns `sender-sequence` in hexadecimal, for logs and headers.
std::string ToString(const CallId& aId);

}

template<>
struct std::hash<baobab::CallId>
{
  std::size_t operator()(const baobab::CallId& aId) const noexcept
  {
    return aId.sender ^ (aId.sequence * 0x9e3779b97f4a7c15ULL);
  }
};
