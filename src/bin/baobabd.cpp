/// @file
/// The daemon beside each target, on the product's own object store.
#include "daemon_program.hpp"

#include <cstdlib>
#include <iostream>

int
main(int aCount, char** aArguments)
{
  const int code = DaemonProgram(aCount, aArguments, baobab::DefaultPlatform());
  std::cout.flush();
  std::_Exit(code);
}
