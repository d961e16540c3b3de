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

auto IsRecentlyOverloaded(const OverloadState& overload, const OverloadPolicy& policy,
                          core::Time now) -> bool {
  return now < overload.overloaded_until - policy.recovery_time + policy.short_recovery_time;
}

auto EventBatchInterval(const OverloadState& overload, const OverloadPolicy& policy,
                        core::Duration gap_objective) -> core::Duration {
  const auto excess = overload.mean_delay - policy.batch_threshold;
  if (excess <= core::Duration{}) return {};
  const auto range = policy.overload_threshold - policy.batch_threshold;
  const double load =
      std::min(1.0, static_cast<double>(excess.count()) / static_cast<double>(range.count()));
  const auto longest = std::min<std::chrono::duration<double, std::micro>>(
      gap_objective * policy.max_batch_gap_share, policy.max_batch_interval);
  return std::chrono::duration_cast<core::Duration>(longest * load);
}

auto IsStalled(const OverloadState& overload, const OverloadPolicy& policy) -> bool {
  return overload.mean_stall >= policy.stall_threshold;
}

}  // namespace filbertstair::direct
