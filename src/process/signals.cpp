#include "process/signals.h"

#include <csignal>
#include <ctime>

namespace shedshed {
namespace {

sigset_t stopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void blockStopSignals() {
  const sigset_t signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  // SIGHUP asks for a reload of the process settings, none of which can change at run time.
  std::signal(SIGHUP, SIG_IGN);
}

void waitForStopSignal() {
  const sigset_t signals = stopSignals();
  int received = 0;
  while (sigwait(&signals, &received) != 0) {
  }
}

bool waitForStopSignal(std::chrono::milliseconds limit) {
  const sigset_t signals = stopSignals();
  timespec wait{};
  wait.tv_sec = static_cast<std::time_t>(limit.count() / 1000);
  wait.tv_nsec = static_cast<long>(limit.count() % 1000) * 1000000;
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

}  // namespace shedshed
