#include "signals.h"

#include <chrono>
#include <ctime>
#include <ratio>

namespace filbertstair {
namespace {

// Signals that stop the daemon.
auto StopSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

auto BlockSignals() -> sigset_t {
  auto signals = StopSignals();
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

auto SleepUntilStopped(core::Duration duration) -> bool {
  const auto stopping = StopSignals();
  const auto nanoseconds = std::chrono::nanoseconds(duration).count();
  const timespec timeout{nanoseconds / std::nano::den, nanoseconds % std::nano::den};
  return sigtimedwait(&stopping, nullptr, &timeout) > 0;
}

}  // namespace filbertstair
