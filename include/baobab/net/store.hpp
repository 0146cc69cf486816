/// @file
#pragma once

#include "baobab/net/object_store.hpp"

#include <cstdint>

namespace baobab {

/// The platform's object store, whichever it is. Used by one fiber at a time.
/// See ObjectStore for the errors.
class Store
{
public:
  virtual ~Store() = default;

  /// Reads an object; nothing if it does not exist.
  virtual Result<std::optional<StoredObject>> Get(std::string_view aKey) = 0;

  /// Writes an object under a condition and returns its new version.
  virtual Result<ObjectVersion> Put(std::string_view aKey,
                                    std::string_view aValue,
                                    const PutCondition& aCondition) = 0;

  /// Returns the objects whose keys have a prefix.
  /// @param aPrefix ends with a slash
  virtual Result<std::vector<StoredObject>> ReadAll(
    std::string_view aPrefix) = 0;

  /// Calls made since the start.
  virtual std::uint64_t Calls() const = 0;
};

}
