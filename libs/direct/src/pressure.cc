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

auto RefusedShare(const Pressure& pressure, const PressurePolicy& policy) -> double {
  const auto over = static_cast<double>((pressure.delay - policy.refuse).count());
  const auto range = static_cast<double>((policy.max_delay - policy.refuse).count());
  return 1 - (1 - policy.least_share) * std::clamp(over / range, 0.0, 1.0);
}

}  // namespace filbertstair::direct
