#ifndef FILBERTSTAIR_APPS_FILBERTSTAIRD_SIGNALS_H_
#define FILBERTSTAIR_APPS_FILBERTSTAIRD_SIGNALS_H_

#include <signal.h>

#include "filbertstair/core/types.h"

namespace filbertstair {

// Blocks the signals that stop the daemon or reload its settings in all threads that are started
// later, and returns them for sigwait. Must come first: until then each of them ends the process at
// once, and the platform may send SIGHUP right after a start.
auto BlockSignals() -> sigset_t;

// Sleeps for the time, or until a signal arrives that stops the daemon. Returns whether one has.
// SIGHUP stays pending.
auto SleepUntilStopped(core::Duration duration) -> bool;

}  // namespace filbertstair

#endif  // FILBERTSTAIR_APPS_FILBERTSTAIRD_SIGNALS_H_
