#include "filbertstair/telemetry/line_budget.h"

#include <algorithm>
#include <utility>

namespace filbertstair::telemetry {

auto ConsumeLine(LineBudget& budget, std::chrono::steady_clock::time_point now)
    -> std::optional<std::uint64_t> {
  const std::chrono::duration<double> elapsed = now - budget.updated_at;
  budget.updated_at = now;
  budget.available = std::min(kLineBurst, budget.available + elapsed.count() * kLinesPerSecond);
  if (budget.available < 1) {
    ++budget.dropped;
    return std::nullopt;
  }
  budget.available -= 1;
  return std::exchange(budget.dropped, 0);
}

}  // namespace filbertstair::telemetry
