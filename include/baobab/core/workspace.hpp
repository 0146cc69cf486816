/// @file
/// Workspaces: groups of callers that share keys, a priority and a quota.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// A workspace as declared in a service file.
struct WorkspaceSpec
{
  std::string name;
  /// SHA-256 of each key of the workspace, as 64 hexadecimal digits.
  std::vector<std::string> keyHashes;
  /// Priority of its calls; 0 is the highest. It applies before the priority of
  /// the route.
  std::int64_t priority = 0;
  /// Calls per second that all daemons together let in; 0: no limit.
  double ratePerSecond = 0;
  /// Calls that may exceed the rate at once.
  std::int64_t burst = 0;
  /// Regions in which calls may be served; empty: all.
  std::vector<std::string> regions;

  bool operator==(const WorkspaceSpec&) const = default;
};

/// Identifies a workspace in messages between daemons; 0: none.
using WorkspaceId = std::uint64_t;

/// Returns the ID of a workspace. It is the same in every daemon.
WorkspaceId IdOfWorkspace(std::string_view aName);

}
