#include "baobab/node/workspace_index.hpp"

#include <algorithm>
#include <cstring>

namespace baobab {
namespace {

std::uint64_t
PrefixOf(const KeyHash& aHash)
{
  std::uint64_t prefix = 0;
  std::memcpy(&prefix, aHash.data(), sizeof prefix);
  return prefix;
}

}

WorkspaceIndex::WorkspaceIndex(const Configuration& aConfiguration)
{
  for (const auto& service : aConfiguration.Services()) {
    if (service->spec.retired) {
      continue;
    }
    for (const WorkspaceSpec& spec : service->spec.workspaces) {
      for (const std::string& text : spec.keyHashes) {
        if (const auto hash = ParseKeyHash(text)) {
          this->keys.push_back(
            { PrefixOf(*hash), *hash, this->workspaces.size() });
        }
      }
      this->workspaces.push_back(std::make_shared<const Workspace>(
        Workspace{ spec, IdOfWorkspace(spec.name) }));
    }
  }
  std::ranges::sort(this->keys, {}, &Key::prefix);
}

std::shared_ptr<const Workspace>
WorkspaceIndex::Find(std::string_view aKey) const
{
  const KeyHash hash = HashKey(aKey);
  const auto candidates =
    std::ranges::equal_range(this->keys, PrefixOf(hash), {}, &Key::prefix);
  const auto found =
    std::ranges::find_if(candidates, [&](const Key& aCandidate) {
      return SameKeyHash(aCandidate.hash, hash);
    });
  return found == candidates.end() ? nullptr
                                   : this->workspaces[found->workspace];
}

}
