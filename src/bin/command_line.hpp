/// @file
/// What the programs share on their command lines.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/core/schema.hpp"

#include <iostream>
#include <string>
#include <vector>

namespace baobab {

constexpr int kExitUsage = 2;
constexpr int kExitUnavailable = 3;

/// Sets usage and version, and parses the flags. `--help` and `--version`
/// end the process.
void ParseCommandLine(const char* aUsage,
                      const char* aVersion,
                      int& aCount,
                      char**& aArguments);

/// Prints the reference of a document's keys and returns true if the flag
/// `--print_reference` asks for it.
template<class T>
bool
PrintReference(bool aAsked, const std::vector<Field<T>>& aSchema)
{
  if (aAsked) {
    std::cout << ReferenceTable(aSchema);
  }
  return aAsked;
}

/// Reads a whole file. Fails with System.
Result<std::string> ReadTextFile(const std::string& aPath);

}
