#ifndef FILBERTSTAIR_ADMISSION_LIMIT_H_
#define FILBERTSTAIR_ADMISSION_LIMIT_H_

#include <cstdint>

#include "filbertstair/core/types.h"

namespace filbertstair::admission {

// How the number of requests in flight that still raises throughput is found.
struct LimitPolicy {
  // Bounds from the service document's pool.
  std::uint32_t min_slots = 1;
  std::uint32_t max_slots = 16;
  // Least length of one measurement and least work that it must contain.
  core::Duration window = std::chrono::seconds(1);
  double min_work = 20;
  // Least gain in throughput, as a share of the gain in requests in flight, for which more requests
  // in flight are worth their latency.
  double min_gain = 0.2;
  // Standard errors by which the mean gain must differ from min_gain before a decision.
  double confidence = 3.0;
  // Pairs of measurements after which an undecided probe ends without a change.
  std::uint32_t max_pairs = 100;
  // Time from a probe that changed nothing to the next one. Doubles up to four times while
  // probes keep changing nothing, since a probe below the right limit costs throughput.
  core::Duration probe_interval = std::chrono::seconds(60);
  // Measurements in a row without enough demand after which a probe ends.
  std::uint32_t max_discarded = 30;
};

// Direction in which a limit other than the current one is tried.
enum class Probe { none, up, down };

// Search for the limit. Pairs of measurements, one at `limit` and one at the probed limit,
// alternate in order, so that a drift of the load affects both alike.
struct LimitState {
  // Limit in force outside probes.
  std::uint32_t limit = 1;
  Probe probe = Probe::none;
  // Whether probes downwards halve the limit. Large steps stand out from noise, so the first
  // descent from max_slots takes them until one costs throughput.
  bool halving = true;
  // Whether the probed limit, and not `limit`, is in force.
  bool probing = false;
  // Probes in a row that changed nothing.
  std::uint32_t probes_without_change = 0;
  core::Time next_probe_at{};

  // Current measurement. `in_flight_integral` is the integral of the requests in flight, in
  // microseconds.
  core::Time window_start{};
  core::Time in_flight_updated_at{};
  std::uint32_t in_flight = 0;
  double in_flight_integral = 0;
  double work = 0;
  // Whether the replica is still adapting to a changed limit, so that the measurement is discarded.
  bool settling = true;
  // Measurements discarded in a row.
  std::uint32_t discarded = 0;

  // Work per second of the first measurement of the current pair, or 0 before it.
  double first_rate = 0;
  // Gains of the complete pairs of this probe.
  std::uint32_t pairs = 0;
  double gain_sum = 0;
  double gain_square_sum = 0;

  // Reports in a row in which the engine queued requests.
  std::uint32_t queued_reports = 0;
};

// Returns the state of a process that has observed nothing yet. It starts at max_slots: too low a
// limit idles capacity while work is queued, too high a one only moves waiting into the engine.
auto MakeLimitState(const LimitPolicy& policy, core::Time now) -> LimitState;

// Records the number of requests in flight after each start and end of a request.
auto ObserveInFlight(LimitState& state, std::uint32_t in_flight, core::Time now) -> void;

// Records work done by the replica: completed requests, or chunks of streamed responses. One
// process must use one unit.
auto ObserveWork(LimitState& state, double work) -> void;

// Records the engine's own load report. It lags, so it only prevents a rise while the engine
// reports waiting requests in several reports in a row.
auto ObserveLoadReport(LimitState& state, std::uint32_t waiting) -> void;

// Ends the current measurement if it is complete, and returns the limit to use until the next call.
// To be called about once per second.
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
