/// @file
#pragma once

#include "baobab/net/object_store.hpp"

#include <cstdint>

namespace baobab {

/// Abstract object store. Used by one fiber at a time. The functions fail as
/// described at ObjectStore.
class Store
{
public:
  virtual ~Store() = default;

  /// Reads an object. Returns nothing if it does not exist.
  virtual Result<std::optional<StoredObject>> Get(std::string_view aKey) = 0;

  /// Writes an object if a condition holds, and returns its new version.
  virtual Result<ObjectVersion> Put(std::string_view aKey,
                                    std::string_view aValue,
                                    const PutCondition& aCondition) = 0;

  /// Returns the objects whose keys start with a prefix.
  /// @param aPrefix ends with a slash
  virtual Result<std::vector<StoredObject>> ReadAll(
    std::string_view aPrefix) = 0;

  /// Number of requests sent to the store so far.
  virtual std::uint64_t Calls() const = 0;
};

}
