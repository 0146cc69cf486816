/// @file
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/core/time.hpp"
#include "baobab/decision/evacuation.hpp"

#include <cstdint>

namespace baobab {

/// Source of the operator's evacuations. Used by one fiber at a time. Calls
/// fail with StoreUnavailable, ConnectionLost or BadMessage; the next Watch
/// then reads everything again.
class EvacuationSource
{
public:
  virtual ~EvacuationSource() = default;

  /// Reads the evacuated zones. They may be seconds old, so era and revision
  /// are such that any others replace them.
  virtual Result<EvacuatedZones> ReadCached() = 0;

  /// Waits for a change. The first call returns the current state at once.
  /// @param aTime longest wait
  virtual Result<EvacuatedZones> Watch(Duration aTime) = 0;

  /// Number of requests sent to the store so far.
  virtual std::uint64_t Calls() const = 0;
};

}
