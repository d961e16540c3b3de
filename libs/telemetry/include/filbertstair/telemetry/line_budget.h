#ifndef FILBERTSTAIR_TELEMETRY_LINE_BUDGET_H_
#define FILBERTSTAIR_TELEMETRY_LINE_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace filbertstair::telemetry {

// Refill rate in lines per second and capacity in lines of the token bucket that limits the lines
// of one event. A line takes about 50 us of CPU time, so that an event costs at most 0.1 % of a
// core.
inline constexpr double kLinesPerSecond = 20;
inline constexpr double kLineBurst = 100;

// Token bucket that limits the lines of one event.
struct LineBudget {
  double available = kLineBurst;
  std::chrono::steady_clock::time_point updated_at{};
  // Lines suppressed since the last written one.
  std::uint64_t dropped = 0;
};

// Takes one line from the budget. Returns the number of lines suppressed since the last written
// one, or nullopt if this line is to be suppressed as well.
auto ConsumeLine(LineBudget& budget, std::chrono::steady_clock::time_point now)
    -> std::optional<std::uint64_t>;

}  // namespace filbertstair::telemetry

#endif  // FILBERTSTAIR_TELEMETRY_LINE_BUDGET_H_
