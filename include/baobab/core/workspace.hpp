/// @file
/// Workspaces: groups of callers that share keys, a priority and a quota.
#pragma once

#include "baobab/core/error.hpp"
#include "baobab/core/schema.hpp"

#include <cstdint>
#include <optional>
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

/// Returns the ID of the workspace with a name. It is the same in all daemons
/// and never 0.
WorkspaceId IdOfWorkspace(std::string_view aName);

/// Returns the schema of an entry of `workspaces` in a service file.
const std::vector<Field<WorkspaceSpec>>& WorkspaceSchema();

/// Checks workspaces that apply at the same time: each has a name of its own
/// that fits in a header, and each key belongs to one workspace. Returns the
/// first error, without its location.
std::optional<Error> CheckWorkspaces(
  const std::vector<WorkspaceSpec>& aWorkspaces);

}
