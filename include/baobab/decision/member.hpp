/// @file
#pragma once

#include "baobab/core/endpoint.hpp"
#include "baobab/core/locality.hpp"
#include "baobab/core/target_state.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace baobab {

/// State of a daemon. Within an incarnation, a later state overrides an earlier
/// one.
enum class MemberState : std::uint8_t
{
  Alive,
  Suspect,
  Dead,
  /// In a region from which nothing is received. Only shown, never sent.
  Unreachable,
};

/// Returns the name of a state, as used in logs.
constexpr std::string_view
Name(MemberState aState)
{
  constexpr std::array<std::string_view, 4> kNames = {
    "alive", "suspect", "dead", "unreachable"
  };
  return kNames[static_cast<std::size_t>(aState)];
}

/// One daemon and its target, as spread by gossip.
struct MemberRecord
{
  Endpoint endpoint;
  /// Increased by the daemon itself with each start and each change.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::Alive;
  Locality locality;
  /// Service of the local target; empty if none was announced.
  std::string service;
  TargetState targetState = TargetState::None;
  std::uint16_t slots = 0;

  bool operator==(const MemberRecord&) const = default;
};

}
