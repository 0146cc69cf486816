#include "baobab/net/process_signals.hpp"

#include <initializer_list>

namespace baobab {
namespace {

/// Changes the signal mask of the calling thread.
/// @param aHow SIG_BLOCK or SIG_UNBLOCK
void
ChangeSignalMask(int aHow)
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&signals, number);
  }
  pthread_sigmask(aHow, &signals, nullptr);
}

}

void
BlockSignals()
{
  ChangeSignalMask(SIG_BLOCK);
}

void
UnblockSignals()
{
  ChangeSignalMask(SIG_UNBLOCK);
}

}
