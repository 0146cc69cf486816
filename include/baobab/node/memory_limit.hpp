/// @file
#pragma once

#include "baobab/core/memory_ledger.hpp"

namespace baobab {

class MetricsPage;
struct Settings;

/// Sets the bounds of the process's ledger, and lets large blocks go back to
/// the system as soon as they are free. If the settings name no limit, the
/// system is asked. Call it before the workers start.
void LimitMemory(const Settings& aSettings);

/// Adds the bytes and refusals of each part of a ledger.
void AddMemoryMetrics(MetricsPage& aPage, const MemoryLedger& aLedger);

}
