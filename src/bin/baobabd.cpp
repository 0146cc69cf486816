/// @file
/// The daemon for deployments with the built-in HTTP object store.
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
