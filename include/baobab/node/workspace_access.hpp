/// @file
/// Whether a caller may call a route, by the key in its request.
#pragma once

#include "baobab/core/http_message.hpp"
#include "baobab/core/service.hpp"
#include "baobab/net/http_server.hpp"
#include "baobab/node/workspace_index.hpp"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace baobab {

/// Result of the check of a request's key.
enum class KeyCheck : std::uint8_t
{
  /// No workspaces are declared, or the route is anonymous.
  NotNeeded,
  Valid,
  /// There is no key, or not exactly one.
  Missing,
  /// The key belongs to no workspace.
  Unknown,
};

std::string_view Name(KeyCheck aCheck);

/// The access of one request.
struct CallAccess
{
  KeyCheck check = KeyCheck::NotNeeded;
  /// True if the configuration declares workspaces. Keys are then not passed
  /// on.
  bool declared = false;
  /// True if keys may have been withdrawn without this daemon's knowledge.
  bool outdated = false;
  /// Workspace of the key; null unless it is valid.
  std::shared_ptr<const Workspace> workspace;

  bool Allowed() const
  {
    return this->check == KeyCheck::NotNeeded || this->check == KeyCheck::Valid;
  }
};

/// Checks the key of a request to a route.
CallAccess CheckAccess(const WorkspaceIndex& aWorkspaces,
                       const RouteSpec& aRoute,
                       const std::vector<HeaderField>& aHeaders);

/// Removes the caller's key, if workspaces are declared, and always a workspace
/// that the caller named itself; adds the name of the call's workspace.
/// @param aName name of the header with the workspace
void ReplaceWorkspaceHeaders(std::vector<HeaderField>& aHeaders,
                             const CallAccess& aAccess,
                             std::string_view aName);

/// Returns the priority of a call: first by its workspace, then by its route.
/// Where workspaces are declared, of both only the values 0 to 15 differ, and
/// calls without a workspace have the highest priority of a workspace.
std::uint8_t CallPriority(const CallAccess& aAccess, const RouteSpec& aRoute);

/// Returns the response to a request whose key is not valid.
Response NoAccessResponse(KeyCheck aCheck);

}
