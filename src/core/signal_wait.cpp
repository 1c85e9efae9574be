#include "core/signal_wait.h"

#include <csignal>

namespace lentilhoist {

namespace {

sigset_t endSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

} // namespace

void blockEndSignals() {
  const sigset_t Signals = endSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

int waitForEndSignal() {
  const sigset_t Signals = endSignals();
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return Signal;
}

} // namespace lentilhoist
