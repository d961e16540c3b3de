#include "filbertstair/core/drain.h"

#include <algorithm>

namespace filbertstair::core {

auto RecordDuration(DurationStats& stats, Duration duration, double size) -> void {
  constexpr int gain_divisor = 8;
  if (!stats.has_samples) {
    stats = {duration, duration / 2, size, true};
    return;
  }
  const auto distance = duration - stats.mean;
  stats.mean += distance / gain_divisor;
  stats.deviation += (std::chrono::abs(distance) - stats.deviation) / gain_divisor;
  stats.mean_size += (size - stats.mean_size) / gain_divisor;
}

auto EstimateMaxDuration(const DrainPolicy& policy, const DurationStats& stats,
                         const RequestProfile& request) -> Duration {
  if (!stats.has_samples) {
    if (request.objective == Duration{}) return request.remaining;
    return std::min(request.objective, request.remaining);
  }
  const int deviations =
      request.call_class == CallClass::once ? policy.once_deviations : policy.repeatable_deviations;
  auto expected = stats.mean + stats.deviation * deviations;
  if (stats.mean_size > 0 && request.size > stats.mean_size) {
    // The caller supplies the size, so the product may exceed the range of Duration.
    const double longest = static_cast<double>(request.remaining.count());
    const double scaled = static_cast<double>(expected.count()) * request.size / stats.mean_size;
    expected = Duration(static_cast<Duration::rep>(std::min(scaled, longest)));
  }
  return std::min(expected, request.remaining);
}

auto CanFinishBeforeExit(const DrainPolicy& policy, const DurationStats& stats,
                         const RequestProfile& request, Time now, Time end) -> bool {
  return EstimateMaxDuration(policy, stats, request) + policy.delivery_margin <= end - now;
}

}  // namespace filbertstair::core
