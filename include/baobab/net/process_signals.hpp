/// @file
#pragma once

#include <csignal>

namespace baobab {

/// Holds signals of shutdown and reload back until the process handles them; a
/// shutdown that comes during the start is then a graceful one as well. Called
/// before any thread starts.
void BlockSignals();

/// Lets the signals come that were held back.
void UnblockSignals();

}
