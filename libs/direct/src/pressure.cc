#include "filbertstair/direct/pressure.h"

#include <algorithm>

namespace filbertstair::direct {

auto RecordTimerDelay(OverloadState& overload, const OverloadPolicy& policy, core::Duration delay,
                      core::Time now) -> void {
  constexpr int weight = 4;
  overload.mean_delay += (std::min(delay, policy.max_delay_sample) - overload.mean_delay) / weight;
  overload.mean_stall += (std::min(delay, policy.max_stall_sample) - overload.mean_stall) / weight;
  if (overload.mean_delay >= policy.overload_threshold) {
    overload.overloaded_until = now + policy.recovery_time;
  }
}

auto IsOverloaded(const OverloadState& overload, core::Time now) -> bool {
  return now < overload.overloaded_until;
}

auto IsStalled(const OverloadState& overload, const OverloadPolicy& policy) -> bool {
  return overload.mean_stall >= policy.stall_threshold;
}

}  // namespace filbertstair::direct
