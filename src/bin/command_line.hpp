/// @file
/// What the programs share on their command lines.
#pragma once

#include "baobab/core/result.hpp"

#include <string>

namespace baobab {

constexpr int kExitUsage = 2;
constexpr int kExitUnavailable = 3;

/// Sets usage and version, and parses the flags. `--help` and `--version`
/// end the process.
void ParseCommandLine(const char* aUsage,
                      const char* aVersion,
                      int& aCount,
                      char**& aArguments);

/// Reads a whole file. Fails with System.
Result<std::string> ReadTextFile(const std::string& aPath);

}
