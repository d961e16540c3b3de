#include "filbertstair/direct/pressure.h"

#include <algorithm>

namespace filbertstair::direct {

auto NoteDelay(Pressure& pressure, const PressurePolicy& policy, core::Duration late,
               core::Time now) -> void {
  constexpr int weight = 4;
  pressure.delay += (std::min(late, policy.max_delay) - pressure.delay) / weight;
  pressure.stall += (std::min(late, policy.max_stall) - pressure.stall) / weight;
  if (pressure.delay >= policy.behind) pressure.behind_until = now + policy.recover;
}

auto IsBehind(const Pressure& pressure, core::Time now) -> bool {
  return now < pressure.behind_until;
}

auto IsStalled(const Pressure& pressure, const PressurePolicy& policy) -> bool {
  return pressure.stall >= policy.stalled;
}

}  // namespace filbertstair::direct
