#ifndef FILBERTSTAIR_ADMISSION_LIMIT_H_
#define FILBERTSTAIR_ADMISSION_LIMIT_H_

#include <cstdint>

#include "filbertstair/core/types.h"

namespace filbertstair::admission {

// Parameters of the search for the concurrency limit: the number of requests in flight beyond which
// throughput no longer rises.
struct LimitPolicy {
  // Bounds of the limit, from the pool in the service document.
  std::uint32_t min_slots = 1;
  std::uint32_t max_slots = 16;
  // Minimum duration of a measurement, and minimum work that it must contain.
  core::Duration window = std::chrono::seconds(1);
  double min_work = 20;
  // Minimum relative gain in throughput per relative gain in requests in flight for which a higher
  // limit is worth the additional latency.
  double min_gain = 0.2;
  // Number of standard errors by which the mean gain must differ from min_gain before a decision.
  double confidence = 3.0;
  // Number of measurement pairs after which an undecided probe ends without a change.
  std::uint32_t max_pairs = 100;
  // Time between a probe that changed nothing and the next one. Doubles up to four times while
  // probes change nothing, since probing below the best limit costs throughput.
  core::Duration probe_interval = std::chrono::seconds(60);
  // Number of consecutive discarded measurements (too little demand) after which a probe ends.
  std::uint32_t max_discarded = 30;
};

// Direction in which a different limit is tried.
enum class Probe { none, up, down };

// State of the search. A probe compares `limit` with a probed limit in pairs of measurements. Their
// order alternates, so that a drift of the load affects both alike.
struct LimitState {
  // Limit in force outside probes.
  std::uint32_t limit = 1;
  Probe probe = Probe::none;
  // Whether downward probes halve the limit. Large steps stand out from noise, so the first descent
  // from max_slots uses them until one costs throughput.
  bool halving = true;
  // Whether the probed limit is in force instead of `limit`.
  bool probing = false;
  // Consecutive probes that changed nothing.
  std::uint32_t probes_without_change = 0;
  core::Time next_probe_at{};

  // Current measurement. `in_flight_integral` is the time integral of the number of requests in
  // flight, in request-microseconds.
  core::Time window_start{};
  core::Time in_flight_updated_at{};
  std::uint32_t in_flight = 0;
  double in_flight_integral = 0;
  double work = 0;
  // Whether the replica is still adapting to a changed limit; the measurement is then discarded.
  bool settling = true;
  // Consecutive discarded measurements.
  std::uint32_t discarded = 0;

  // Work per second in the first measurement of the current pair; 0 before that.
  double first_rate = 0;
  // Statistics of the gains of the complete pairs of this probe.
  std::uint32_t pairs = 0;
  double gain_sum = 0;
  double gain_square_sum = 0;

  // Consecutive load reports in which the engine queued requests.
  std::uint32_t queued_reports = 0;
};

// Returns the initial state. The search starts at max_slots: a limit that is too low idles capacity
// while requests are queued, while one that is too high only moves the queue into the engine.
auto MakeLimitState(const LimitPolicy& policy, core::Time now) -> LimitState;

// Records the number of requests in flight. Call it after each start and end of a request.
auto ObserveInFlight(LimitState& state, std::uint32_t in_flight, core::Time now) -> void;

// Records work done by the replica, as a number of completed requests or of chunks of streamed
// responses. A process must always use the same unit.
auto ObserveWork(LimitState& state, double work) -> void;

// Records the number of waiting requests in the engine's own load report. The report lags, so it
// only prevents a rise of the limit after several consecutive reports with waiting requests.
auto ObserveLoadReport(LimitState& state, std::uint32_t waiting) -> void;

// Ends the current measurement if it is complete, and returns the limit to use until the next call.
// Call it about once per second.
auto UpdateLimit(const LimitPolicy& policy, LimitState& state, core::Time now) -> std::uint32_t;

}  // namespace filbertstair::admission

namespace filbertstair::core {
template <>
inline constexpr NameTable<admission::Probe, 3> kNames<admission::Probe>{{
    {admission::Probe::none, "none"},
    {admission::Probe::up, "up"},
    {admission::Probe::down, "down"},
}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_ADMISSION_LIMIT_H_
