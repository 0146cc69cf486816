/// @file
/// Command line of the daemon programs.
#pragma once

#include "baobab/node/daemon.hpp"

/// Runs a daemon as its command line says and returns the exit code.
/// @param aPlatform provides the store and the configuration source
int DaemonProgram(int aCount,
                  char** aArguments,
                  const baobab::Platform& aPlatform);
