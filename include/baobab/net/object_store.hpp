/// @file
/// Interface of the object store that the load balancer needs.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/core/time.hpp"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// Opaque version of an object, changed by each write.
using ObjectVersion = std::string;

struct StoredObject
{
  std::string value;
  ObjectVersion version;
};

/// Condition of a write.
struct PutCondition
{
  /// Version that must be current. If empty, the object must not exist.
  ObjectVersion version;
};

/// A store with versions, conditional updates and watches. Every function
/// fails with StoreUnavailable if the store cannot be reached or reports an
/// error. Put fails with Conflict if the condition does not hold, and with
/// OutcomeUnknown if the write may or may not have taken effect.
template<class S>
concept ObjectStore = requires(S& aStore,
                               std::string_view aText,
                               const PutCondition& aCondition,
                               Duration aTime) {
  {
    aStore.Get(aText)
  } -> std::same_as<Result<std::optional<StoredObject>>>;
  {
    aStore.Put(aText, aText, aCondition)
  } -> std::same_as<Result<ObjectVersion>>;
  {
    aStore.Watch(aText, aText, aTime)
  } -> std::same_as<Result<std::optional<StoredObject>>>;
  {
    aStore.List(aText)
  } -> std::same_as<Result<std::vector<std::string>>>;
};

}
