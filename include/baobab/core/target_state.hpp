/// @file
#pragma once

#include <cstdint>
#include <string_view>

namespace baobab {

/// State that a target announces to its daemon.
enum class TargetState : std::uint8_t
{
  /// No target has announced itself.
  None,
  Starting,
  Ready,
  Leaving,
};

/// Returns the name of a state as used in announcements.
constexpr std::string_view
Name(TargetState aState)
{
  switch (aState) {
    case TargetState::Starting:
      return "starting";
    case TargetState::Ready:
      return "ready";
    case TargetState::Leaving:
      return "leaving";
    case TargetState::None:
      break;
  }
  return "none";
}

}
