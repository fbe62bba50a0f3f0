#include <signal.h>

#include "standin/process_standin.h"

namespace endiveyard {
namespace {

sigset_t StopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGTERM);
  return set;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t set = StopSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void WaitForStopSignal() {
  const sigset_t set = StopSignals();
  int signal = 0;
  sigwait(&set, &signal);
}

}  // namespace endiveyard
