/// @file
/// How the memory of the process is divided among the parts of the ledger.
#pragma once

#include "baobab/core/memory_ledger.hpp"

namespace baobab {

/// Returns the bounds of the ledger for a process that may use a number of
/// bytes; 0: no bounds. The rest is for what the ledger doesn't count. Requests
/// and calls get half each, so that a call to the target of the same host fits
/// whose body takes half.
MemoryBounds MemoryBoundsOf(std::int64_t aProcessBytes);

}
