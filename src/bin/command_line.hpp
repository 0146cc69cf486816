/// @file
/// Command-line handling shared by the programs.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/core/schema.hpp"

#include <iostream>
#include <string>
#include <vector>

namespace baobab {

/// Exit code for a wrong command line or an invalid input file.
constexpr int kExitUsage = 2;
/// Exit code for a store, address or file that cannot be used.
constexpr int kExitUnavailable = 3;

/// Sets the usage and version texts and parses the flags, which are removed
/// from the arguments. `--help` and `--version` end the process.
void ParseCommandLine(const char* aUsage,
                      const char* aVersion,
                      int& aCount,
                      char**& aArguments);

/// Prints the table of a document's keys if it is requested.
/// @param aRequested value of the flag `--print_reference`
/// @return aRequested
template<class T>
bool
PrintReference(bool aRequested, const std::vector<Field<T>>& aSchema)
{
  if (aRequested) {
    std::cout << ReferenceTable(aSchema);
  }
  return aRequested;
}

/// Reads a whole file. Fails with System if it is empty or cannot be read.
Result<std::string> ReadTextFile(const std::string& aPath);

}
