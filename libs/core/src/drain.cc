#include "filbertstair/core/drain.h"

#include <algorithm>

namespace filbertstair::core {

auto NoteDuration(Durations& durations, Duration duration, double size) -> void {
  constexpr int weight = 8;
  if (!durations.known) {
    durations = {duration, duration / 2, size, true};
    return;
  }
  const auto distance = duration - durations.mean;
  durations.mean += distance / weight;
  durations.deviation += (std::chrono::abs(distance) - durations.deviation) / weight;
  durations.size += (size - durations.size) / weight;
}

auto ExpectedDuration(const DrainPolicy& policy, const Durations& durations,
                      const Prospect& prospect) -> Duration {
  if (!durations.known) {
    if (prospect.objective == Duration{}) return prospect.remaining;
    return std::min(prospect.objective, prospect.remaining);
  }
  const int deviations =
      prospect.call_class == CallClass::once ? policy.deviations_once : policy.deviations;
  auto expected = durations.mean + durations.deviation * deviations;
  if (durations.size > 0 && prospect.size > durations.size) {
    // A size from a caller may be any number.
    const double longest = static_cast<double>(prospect.remaining.count());
    const double scaled = static_cast<double>(expected.count()) * prospect.size / durations.size;
    expected = Duration(static_cast<Duration::rep>(std::min(scaled, longest)));
  }
  return std::min(expected, prospect.remaining);
}

auto MayBegin(const DrainPolicy& policy, const Durations& durations, const Prospect& prospect,
              Time now, Time end) -> bool {
  return ExpectedDuration(policy, durations, prospect) + policy.reserve <= end - now;
}

}  // namespace filbertstair::core
