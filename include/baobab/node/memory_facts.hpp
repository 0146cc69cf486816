/// @file
#pragma once

#include "baobab/decision/process_memory.hpp"

#include <string>

namespace baobab {

/// Reads the limits of the process's control group (version 1 or 2) and the
/// memory of the host from the files of the system. What is not there or can't
/// be parsed is not known.
/// @param aRoot path under which the system's /proc and /sys are
MemoryFacts ReadMemoryFacts(const std::string& aRoot = "");

/// Adds the resource limits of the process.
void AddResourceLimits(MemoryFacts& aFacts);

}
