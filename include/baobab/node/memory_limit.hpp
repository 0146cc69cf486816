/// @file
#pragma once

#include "baobab/core/memory_ledger.hpp"

namespace baobab {

class MetricsPage;

/// Sets the bounds of the process's ledger, and lets large blocks go back to
/// the system as soon as they are free. Call it before other threads start.
/// @param aMegabytes memory that the process may use; 0: not known
void LimitMemory(double aMegabytes);

/// Adds the bytes and refusals of each part of a ledger.
void AddMemoryMetrics(MetricsPage& aPage, const MemoryLedger& aLedger);

}
