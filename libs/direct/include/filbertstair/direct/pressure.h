#ifndef FILBERTSTAIR_DIRECT_PRESSURE_H_
#define FILBERTSTAIR_DIRECT_PRESSURE_H_

#include "filbertstair/core/types.h"

namespace filbertstair::direct {

struct OverloadPolicy {
  // Delay of timers from which an entry counts as behind with its work. A request takes some ten
  // turns of its worker up to its first event, so that it then loses 120 ms of an objective of
  // 250 ms or more. An entry that is in time is late by 1 to 3 ms.
  core::Duration overload_threshold = std::chrono::milliseconds(12);
  // Longest delay that counts. A single one, as after the VM was suspended, is no overload.
  core::Duration max_delay_sample = std::chrono::milliseconds(45);
  // Mean delay from which nothing new is taken in, and the longest that counts for it. Ten turns
  // take 2 s then, twice the longest objective, so that callers had better turn to another entry.
  core::Duration stall_threshold = std::chrono::milliseconds(200);
  core::Duration max_stall_sample = std::chrono::milliseconds(600);
  // Time for which an entry takes no new callers after it was behind. Callers come back as soon as
  // it is ready, so a shorter time would have it behind again at once.
  core::Duration recovery_time = std::chrono::seconds(3);
};

// How far an entry is behind with its work, seen from how late its timers run.
struct OverloadState {
  // Mean delay of the timers, in which the last one counts for a quarter.
  core::Duration mean_delay{};
  // The same with a higher bound on the single delay.
  core::Duration mean_stall{};
  core::Time overloaded_until{};
};

// Records that a timer ran `late` after its time.
auto RecordTimerDelay(OverloadState& overload, const OverloadPolicy& policy, core::Duration delay,
                      core::Time now) -> void;

// Whether the entry should leave new callers to others.
auto IsOverloaded(const OverloadState& overload, core::Time now) -> bool;

// Whether the entry is so far behind that a new request would not begin in time.
auto IsStalled(const OverloadState& overload, const OverloadPolicy& policy) -> bool;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_PRESSURE_H_
