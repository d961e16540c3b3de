#ifndef FILBERTSTAIR_TELEMETRY_LINE_BUDGET_H_
#define FILBERTSTAIR_TELEMETRY_LINE_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <optional>

namespace filbertstair::telemetry {

// Lines per second of one event that are written under load, and how many may come at once. A line
// takes about 50 us of processor time, so that an event costs at most 0.1 % of a core.
inline constexpr double kLinesPerSecond = 20;
inline constexpr double kLineBurst = 100;

// Bounds the lines of one event.
struct LineBudget {
  double available = kLineBurst;
  std::chrono::steady_clock::time_point updated_at{};
  // Lines left out since the last one that was written.
  std::uint64_t dropped = 0;
};

// Takes a line from the budget. Returns the number of lines that were left out before it, or
// nothing if this one is left out too.
auto ConsumeLine(LineBudget& budget, std::chrono::steady_clock::time_point now)
    -> std::optional<std::uint64_t>;

}  // namespace filbertstair::telemetry

#endif  // FILBERTSTAIR_TELEMETRY_LINE_BUDGET_H_
