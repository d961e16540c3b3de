#include "filbertstair/telemetry/line_budget.h"

#include <algorithm>
#include <utility>

namespace filbertstair::telemetry {

auto TakeLine(LineBudget& budget, std::chrono::steady_clock::time_point now)
    -> std::optional<std::uint64_t> {
  const std::chrono::duration<double> elapsed = now - budget.updated;
  budget.updated = now;
  budget.left = std::min(kLineBurst, budget.left + elapsed.count() * kLinesPerSecond);
  if (budget.left < 1) {
    ++budget.dropped;
    return std::nullopt;
  }
  budget.left -= 1;
  return std::exchange(budget.dropped, 0);
}

}  // namespace filbertstair::telemetry
