/// @file
#pragma once

#include <csignal>

namespace baobab {

/// Blocks the signals for shutdown and reload (SIGTERM, SIGINT, SIGHUP) until
/// the process handles them, so that a shutdown requested during startup is
/// graceful too. Must be called before any thread starts.
void BlockSignals();

/// Unblocks these signals on the calling thread; pending ones are delivered.
void UnblockSignals();

}
