#ifndef FILBERTSTAIR_DIRECT_PRESSURE_H_
#define FILBERTSTAIR_DIRECT_PRESSURE_H_

#include "filbertstair/core/types.h"

namespace filbertstair::direct {

struct PressurePolicy {
  // Delay of timers from which an entry counts as behind with its work. A request takes some ten
  // turns of its worker up to its first event, so that it then loses 120 ms of an objective of
  // 250 ms or more. An entry that is in time is late by 1 to 3 ms.
  core::Duration behind = std::chrono::milliseconds(12);
  // Delay from which new requests are refused, so that their callers turn to another entry while
  // there is time: half of an objective of 500 ms. First those of workspaces that have their
  // max-min share of what the entry gives.
  core::Duration refuse = std::chrono::milliseconds(25);
  // Part of that share from which a workspace is refused at the longest delay. Less service for
  // all, in equal parts, lets the entry catch up.
  double least_share = 0.25;
  // Longest delay that counts. A single one, as after the VM was suspended, is no overload.
  core::Duration max_delay = std::chrono::milliseconds(45);
  // Time for which an entry takes no new callers after it was behind. Callers come back as soon as
  // it is ready, so a shorter time would have it behind again at once.
  core::Duration recover = std::chrono::seconds(3);
};

// How far an entry is behind with its work, seen from how late its timers run.
struct Pressure {
  // Mean delay of the timers, in which the last one counts for a quarter.
  core::Duration delay{};
  core::Time behind_until{};
};

// Records that a timer ran `late` after its time.
auto NoteDelay(Pressure& pressure, const PressurePolicy& policy, core::Duration late,
               core::Time now) -> void;

// Whether the entry should leave new callers to others.
auto IsBehind(const Pressure& pressure, core::Time now) -> bool;

// Whether new requests may have to be refused at once.
auto MustRefuse(const Pressure& pressure, const PressurePolicy& policy) -> bool;

// Returns the part of its max-min share from which a workspace is refused then: 1 at the delay from
// which requests are refused, down to the least share at the longest one.
auto RefusedShare(const Pressure& pressure, const PressurePolicy& policy) -> double;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_PRESSURE_H_
