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

/// How a daemon is seen. The order is the precedence within an incarnation.
enum class MemberState : std::uint8_t
{
  Alive,
  Suspect,
  Dead,
  /// In a region that is not heard. A view only, never sent.
  Unreachable,
};

/// Returns the name of a state in logs.
constexpr std::string_view
Name(MemberState aState)
{
  constexpr std::array<std::string_view, 4> kNames = {
    "alive", "suspect", "dead", "unreachable"
  };
  return kNames[static_cast<std::size_t>(aState)];
}

/// One daemon and its target, as it is spread by gossip.
struct MemberRecord
{
  Endpoint endpoint;
  /// Raised by its owner with each start and each change.
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
