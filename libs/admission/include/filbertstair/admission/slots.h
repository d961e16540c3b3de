#ifndef FILBERTSTAIR_ADMISSION_SLOTS_H_
#define FILBERTSTAIR_ADMISSION_SLOTS_H_

#include <cstdint>

#include "filbertstair/core/types.h"

namespace filbertstair::admission {

// Slots of one endpoint process, counted in requests.
struct Slots {
  // Requests that may run at once. Lowering it below `running` interrupts nothing; no request
  // starts until enough have ended.
  std::uint32_t limit = 1;
  std::uint32_t running = 0;
  // Admitted requests that wait for a slot.
  std::uint32_t staged = 0;
  // Outstanding grants.
  std::uint32_t granted = 0;
};

// Returns the number of slots that no request or grant has a claim on.
auto FreeSlots(const Slots& slots) -> std::uint32_t;

// Returns whether a request may start, staged requests aside.
auto CanStartAttempt(const Slots& slots) -> bool;

// Returns whether a submission without a grant may be admitted. It would overtake announced
// requests, so none may be waiting.
auto CanAdmitWithoutGrant(const Slots& slots, bool demand_waits) -> bool;

// Returns whether a further grant may be issued, given the allowance from GrantAllowance.
auto CanIssueGrant(const Slots& slots, std::uint32_t allowance) -> bool;

// Returns the number of grants to issue beyond the free slots, so that a slot that becomes free
// finds a staged request. `round_trip` is the time from a Grant to the arrival of its Submit.
auto GrantAllowance(const Slots& slots, double completions_per_second, core::Duration round_trip)
    -> std::uint32_t;

// Completed requests per second, as a mean that forgets exponentially.
struct CompletionRate {
  double per_second = 0;
  core::Time updated_at{};
};

auto ObserveCompletion(CompletionRate& rate, core::Time now) -> void;
auto CompletionsPerSecond(const CompletionRate& rate, core::Time now) -> double;

}  // namespace filbertstair::admission

#endif  // FILBERTSTAIR_ADMISSION_SLOTS_H_
