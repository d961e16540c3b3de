#include "filbertstair/direct/pressure.h"

#include <algorithm>

namespace filbertstair::direct {

auto NoteDelay(Pressure& pressure, const PressurePolicy& policy, core::Duration late,
               core::Time now) -> void {
  constexpr int weight = 4;
  pressure.delay += (std::min(late, policy.max_delay) - pressure.delay) / weight;
  if (pressure.delay >= policy.behind) pressure.behind_until = now + policy.recover;
}

auto IsBehind(const Pressure& pressure, core::Time now) -> bool {
  return now < pressure.behind_until;
}

auto MustRefuse(const Pressure& pressure, const PressurePolicy& policy) -> bool {
  return pressure.delay >= policy.refuse;
}

}  // namespace filbertstair::direct
