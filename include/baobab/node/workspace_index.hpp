/// @file
#pragma once

#include "baobab/core/key_hash.hpp"
#include "baobab/core/workspace.hpp"
#include "baobab/decision/configuration.hpp"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace baobab {

/// A workspace of the configuration.
struct Workspace
{
  WorkspaceSpec spec;
  WorkspaceId id = 0;
};

/// The workspaces of one configuration, by their keys. Immutable.
class WorkspaceIndex
{
public:
  WorkspaceIndex() = default;

  explicit WorkspaceIndex(const Configuration& aConfiguration);

  /// True if the configuration declares workspaces, so that calls need a key
  /// unless their route is anonymous.
  bool Declared() const { return !this->workspaces.empty(); }

  /// Returns the workspace that a key belongs to; null if there is none.
  std::shared_ptr<const Workspace> Find(std::string_view aKey) const;

  const std::vector<std::shared_ptr<const Workspace>>& All() const
  {
    return this->workspaces;
  }

private:
  struct Key
  {
    /// First bytes of the hash, by which the keys are sorted. They tell a
    /// caller nothing that measures the time of a search, because nobody can
    /// choose the hash of a key.
    std::uint64_t prefix;
    KeyHash hash;
    std::size_t workspace;
  };

  std::vector<std::shared_ptr<const Workspace>> workspaces;
  std::vector<Key> keys;
};

}
