#ifndef FILBERTSTAIR_ADMISSION_SLOTS_H_
#define FILBERTSTAIR_ADMISSION_SLOTS_H_

#include <cstdint>
#include <limits>

#include "filbertstair/core/types.h"

namespace filbertstair::admission {

// Value of Slots::requested_limit if the replica asks for no limit.
inline constexpr std::uint32_t kNoRequestedLimit = std::numeric_limits<std::uint32_t>::max();

// Slot counts of one endpoint process. Each request takes one slot.
struct Slots {
  // Maximum number of running requests. Lowering it below `running` interrupts no request; none
  // starts until enough have ended.
  std::uint32_t limit = 1;
  std::uint32_t running = 0;
  // Admitted requests waiting for a slot.
  std::uint32_t staged = 0;
  // Outstanding grants.
  std::uint32_t granted = 0;
  // Limit that the replica itself asks for: 0 while it wants no requests, rising from 1 afterwards.
  std::uint32_t requested_limit = kNoRequestedLimit;
};

// Returns the lower one of both limits.
auto EffectiveLimit(const Slots& slots) -> std::uint32_t;

// Raises the limit that the replica asked for after it accepted a request. Does nothing while it
// wants none.
auto RaiseRequestedLimit(Slots& slots) -> void;

// Returns the number of slots not claimed by a running or staged request or by a grant.
auto FreeSlots(const Slots& slots) -> std::uint32_t;

// Returns whether a slot is free for a staged request. Ignores the staged requests themselves.
auto CanStartAttempt(const Slots& slots) -> bool;

// Returns whether a submission without a grant may be admitted. `demand_waits` tells whether
// entries report waiting requests, which such a submission must not overtake.
auto CanAdmitWithoutGrant(const Slots& slots, bool demand_waits) -> bool;

// Returns whether another grant may be issued. `allowance` is the result of GrantAllowance.
auto CanIssueGrant(const Slots& slots, std::uint32_t allowance) -> bool;

// Returns how many grants to issue beyond the free slots, so that a staged request is available
// when a slot becomes free. `round_trip` is the time from sending a Grant to receiving its Submit.
auto GrantAllowance(const Slots& slots, double completions_per_second, core::Duration round_trip)
    -> std::uint32_t;

// Exponentially weighted rate of completed requests per second.
struct CompletionRate {
  double per_second = 0;
  core::Time updated_at{};
};

// Records the completion of one request.
auto ObserveCompletion(CompletionRate& rate, core::Time now) -> void;

// Returns the completion rate at `now`; it decays when no requests complete.
auto CompletionsPerSecond(const CompletionRate& rate, core::Time now) -> double;

}  // namespace filbertstair::admission

#endif  // FILBERTSTAIR_ADMISSION_SLOTS_H_
