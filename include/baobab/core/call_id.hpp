/// @file
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace baobab {

/// Identifies one attempt of a call between two daemons.
struct CallId
{
  /// Random number of the sender, chosen anew at each process start.
  std::uint64_t sender = 0;
  /// Increases by one with each attempt of that sender.
  std::uint64_t sequence = 0;

  auto operator<=>(const CallId&) const = default;
};

/// Returns `sender-sequence`, both in hexadecimal, for logs and headers.
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
