#include "baobab/core/workspace.hpp"

#include "baobab/core/key_hash.hpp"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace baobab {
namespace {

constexpr std::size_t kMaxNameLength = 255;

/// True if a name can be sent in a header as it is.
bool
IsWorkspaceName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::ranges::all_of(
           aName, [](char aChar) { return aChar > ' ' && aChar <= '~'; });
}

}

WorkspaceId
IdOfWorkspace(std::string_view aName)
{
  return std::max<WorkspaceId>(1, XXH3_64bits(aName.data(), aName.size()));
}

std::optional<Error>
CheckWorkspaces(const std::vector<WorkspaceSpec>& aWorkspaces)
{
  std::set<WorkspaceId> ids;
  std::set<KeyHash> keys;
  for (const WorkspaceSpec& workspace : aWorkspaces) {
    if (!IsWorkspaceName(workspace.name)) {
      return Error{ ErrorKind::OutOfRange,
                    "the name of a workspace is empty, too long or has other "
                    "characters than visible ASCII",
                    "use 1 to 255 visible ASCII characters without spaces" };
    }
    if (!ids.insert(IdOfWorkspace(workspace.name)).second) {
      return Error{ ErrorKind::OutOfRange,
                    "workspace '" + workspace.name +
                      "' is declared twice, or its ID is that of another one",
                    "join the two entries, or rename the workspace" };
    }
    for (const std::string& text : workspace.keyHashes) {
      const auto hash = ParseKeyHash(text);
      if (!hash) {
        return Error{ ErrorKind::WrongType,
                      "workspace '" + workspace.name +
                        "' has a key hash that is not 64 hexadecimal digits",
                      "write what `printf %s KEY | sha256sum` prints" };
      }
      if (!keys.insert(*hash).second) {
        return Error{ ErrorKind::OutOfRange,
                      "a key of workspace '" + workspace.name +
                        "' is listed twice or belongs to another workspace too",
                      "remove it from all workspaces but one" };
      }
    }
  }
  return std::nullopt;
}

}
