/// @file
/// The command line of a daemon, whatever its platform.
#pragma once

#include "baobab/node/daemon.hpp"

/// Runs a daemon by its command line and returns the exit code.
int DaemonProgram(int aCount,
                  char** aArguments,
                  const baobab::Platform& aPlatform);
