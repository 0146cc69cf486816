#include "baobab/net/process_signals.hpp"

#include <initializer_list>

namespace baobab {
namespace {

/// @param aHow SIG_BLOCK or SIG_UNBLOCK
void
Mask(int aHow)
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
  Mask(SIG_BLOCK);
}

void
UnblockSignals()
{
  Mask(SIG_UNBLOCK);
}

}
