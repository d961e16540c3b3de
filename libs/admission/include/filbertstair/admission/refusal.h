#ifndef FILBERTSTAIR_ADMISSION_REFUSAL_H_
#define FILBERTSTAIR_ADMISSION_REFUSAL_H_

#include "filbertstair/core/reason.h"
#include "filbertstair/core/types.h"

namespace filbertstair::admission {

// What an endpoint process knows about the execution of an attempt. `not_run` is final: the attempt
// did not run and this process refuses it from then on.
enum class AttemptStatus { not_run, running, ran, unknown };

// Reason for refusing a submission. `status` describes the attempt, or, for key_repeated, the first
// attempt that carried the key.
struct Refusal {
  core::Reason reason = core::Reason::internal_error;
  AttemptStatus status = AttemptStatus::unknown;

  auto operator==(const Refusal&) const -> bool = default;
};

// Returns the outcome to report to the caller. A running attempt may still end either way, so its
// outcome is unknown.
constexpr auto ToOutcome(AttemptStatus status) -> core::Outcome {
  switch (status) {
    case AttemptStatus::not_run:
      return core::Outcome::not_run;
    case AttemptStatus::ran:
      return core::Outcome::ran;
    case AttemptStatus::running:
    case AttemptStatus::unknown:
      break;
  }
  return core::Outcome::unknown;
}

}  // namespace filbertstair::admission

namespace filbertstair::core {
template <>
inline constexpr NameTable<admission::AttemptStatus, 4> kNames<admission::AttemptStatus>{{
    {admission::AttemptStatus::not_run, "not_run"},
    {admission::AttemptStatus::running, "running"},
    {admission::AttemptStatus::ran, "ran"},
    {admission::AttemptStatus::unknown, "unknown"},
}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_ADMISSION_REFUSAL_H_
