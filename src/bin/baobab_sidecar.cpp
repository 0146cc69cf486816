/// @file
/// The daemon for the managed platform.
#include "daemon_program.hpp"
#include "platform/platform.hpp"

#include <cstdlib>
#include <iostream>

int
main(int aCount, char** aArguments)
{
  const int code =
    DaemonProgram(aCount, aArguments, baobab::platform::ManagedPlatform());
  std::cout.flush();
  std::_Exit(code);
}
