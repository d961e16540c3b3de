#ifndef FILBERTSTAIR_DIRECT_PRESSURE_H_
#define FILBERTSTAIR_DIRECT_PRESSURE_H_

#include "filbertstair/core/types.h"

namespace filbertstair::direct {

struct OverloadPolicy {
  // Mean timer delay from which an entry counts as overloaded. A request takes about ten event loop
  // turns of its worker up to its first event, so that it then loses 120 ms of an objective of 250
  // ms or more. The timers of an entry that keeps up are 1 to 3 ms late.
  core::Duration overload_threshold = std::chrono::milliseconds(12);
  // Limit of a single sample. One long delay, as after a suspension of the VM, is no overload.
  core::Duration max_delay_sample = std::chrono::milliseconds(45);
  // Mean delay from which no new requests are admitted, and the limit of a single sample of it. Ten
  // turns then take 2 s, twice the longest objective, so that callers should use another entry.
  core::Duration stall_threshold = std::chrono::milliseconds(200);
  core::Duration max_stall_sample = std::chrono::milliseconds(600);
  // Time for which an entry takes no new callers after an overload. Callers return as soon as it is
  // ready, so a shorter time overloads it again at once.
  core::Duration recovery_time = std::chrono::seconds(3);
  // The same while other overloaded entries have to take new callers. The requests that an entry
  // had admitted are mostly finished by then.
  core::Duration short_recovery_time = std::chrono::seconds(1);
  // Mean timer delay from which the events of a stream are forwarded in batches. Most of the cost
  // of an event is that of a wake-up, a read and a write, whatever it contains.
  core::Duration batch_threshold = std::chrono::milliseconds(4);
  // Interval of the batches at `overload_threshold`: a fraction of the longest pause that callers
  // accept, which leaves the rest to the replica, up to a limit.
  double max_batch_gap_share = 0.5;
  core::Duration max_batch_interval = std::chrono::milliseconds(125);
};

// Overload of an entry, measured by the delay of its timers.
struct OverloadState {
  // Exponential moving average of the timer delay, in which the last sample has a weight of 1/4.
  core::Duration mean_delay{};
  // The same with `max_stall_sample` as the limit of a sample.
  core::Duration mean_stall{};
  core::Time overloaded_until{};
};

// Records that a timer fired `delay` after its due time.
auto RecordTimerDelay(OverloadState& overload, const OverloadPolicy& policy, core::Duration delay,
                      core::Time now) -> void;

// Whether the entry should leave new callers to other entries.
auto IsOverloaded(const OverloadState& overload, core::Time now) -> bool;

// Whether the overload is so recent that the entry leaves new callers to others even while these
// are overloaded as well.
auto IsRecentlyOverloaded(const OverloadState& overload, const OverloadPolicy& policy,
                          core::Time now) -> bool;

// Returns the time between two reads of a stream whose callers accept pauses of `gap_objective`
// between events. Zero if events should be forwarded as they arrive.
auto EventBatchInterval(const OverloadState& overload, const OverloadPolicy& policy,
                        core::Duration gap_objective) -> core::Duration;

// Whether the entry lags so far that a new request would not start in time.
auto IsStalled(const OverloadState& overload, const OverloadPolicy& policy) -> bool;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_PRESSURE_H_
