/// @file
#pragma once

#include <cstdint>
#include <string_view>

namespace baobab {

/// State of a target as it announces itself.
enum class TargetState : std::uint8_t
{
  None,
  Starting,
  Ready,
  Leaving,
};

/// Returns the name of a state as it appears in announcements.
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
