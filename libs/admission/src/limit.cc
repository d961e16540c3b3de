#include "filbertstair/admission/limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace filbertstair::admission {
namespace {

// Number of pairs needed for a usable estimate of the spread of the gains.
constexpr std::uint32_t kMinPairs = 4;
// Lower bound on the standard error, so that a few gains that agree by chance do not decide a close
// case.
constexpr double kMinError = 0.02;
// Relative difference allowed between the mean number of requests in flight and the limit in a
// valid measurement.
constexpr double kInFlightTolerance = 0.1;
// Consecutive load reports with waiting requests after which the limit is not raised. More than
// one, since the reports lag.
constexpr std::uint32_t kMaxQueuedReports = 3;
constexpr std::uint32_t kMaxIntervalDoublings = 4;

auto ProbedLimit(const LimitPolicy& policy, const LimitState& state) -> std::uint32_t {
  switch (state.probe) {
    case Probe::up:
      return std::min(policy.max_slots, state.limit + std::max(1U, state.limit / 4));
    case Probe::down:
      return std::max(policy.min_slots,
                      state.limit - std::max(1U, state.limit / (state.halving ? 2 : 5)));
    case Probe::none:
      break;
  }
  return state.limit;
}

auto EffectiveLimit(const LimitPolicy& policy, const LimitState& state) -> std::uint32_t {
  return state.probing ? ProbedLimit(policy, state) : state.limit;
}

auto StartWindow(LimitState& state, core::Time now) -> void {
  state.window_start = now;
  state.in_flight_updated_at = now;
  state.in_flight_integral = 0;
  state.work = 0;
}

auto StartProbe(LimitState& state, Probe probe) -> void {
  state.probe = probe;
  state.settling = state.settling || state.probing;
  state.probing = false;
  state.discarded = 0;
  state.first_rate = 0;
  state.pairs = 0;
  state.gain_sum = 0;
  state.gain_square_sum = 0;
}

auto ScheduleNextProbe(const LimitPolicy& policy, LimitState& state, core::Time now) -> void {
  StartProbe(state, Probe::none);
  state.next_probe_at = now + policy.probe_interval * (1U << std::min(state.probes_without_change,
                                                                      kMaxIntervalDoublings));
  ++state.probes_without_change;
}

auto CanRaiseLimit(const LimitPolicy& policy, const LimitState& state) -> bool {
  return state.limit < policy.max_slots && state.queued_reports < kMaxQueuedReports;
}

// Ends a probe that changed nothing. A failed upward probe is followed by a downward one.
auto EndProbeWithoutChange(const LimitPolicy& policy, LimitState& state, core::Time now) -> void {
  const auto was_halving = std::exchange(state.halving, false);
  if (state.limit > policy.min_slots && (state.probe == Probe::up || was_halving)) {
    StartProbe(state, Probe::down);
  } else {
    ScheduleNextProbe(policy, state, now);
  }
}

// Applies the probed limit and starts another probe in the same direction, unless a bound is
// reached.
auto ApplyProbedLimit(const LimitPolicy& policy, LimitState& state, core::Time now) -> void {
  const auto probe = state.probe;
  state.limit = ProbedLimit(policy, state);
  // If the probed limit is already in force, no settling is needed.
  state.settling = state.settling || !state.probing;
  state.probing = false;
  state.probes_without_change = 0;
  const auto at_bound =
      probe == Probe::up ? !CanRaiseLimit(policy, state) : state.limit <= policy.min_slots;
  if (at_bound) {
    ScheduleNextProbe(policy, state, now);
  } else {
    StartProbe(state, probe);
  }
}

// Decides whether to end the probe after a complete pair.
auto DecideProbe(const LimitPolicy& policy, LimitState& state, core::Time now) -> void {
  if (state.pairs < std::min(kMinPairs, policy.max_pairs)) return;
  const double n = state.pairs;
  const auto mean = state.gain_sum / n;
  const auto variance =
      n > 1 ? std::max(0.0, (state.gain_square_sum - n * mean * mean) / (n - 1)) : 0.0;
  const auto margin = policy.confidence * std::max(kMinError, std::sqrt(variance / n));
  const auto change_allowed = state.probe == Probe::down || CanRaiseLimit(policy, state);
  const auto gain_sufficient = mean - margin > policy.min_gain;
  const auto gain_insufficient = mean + margin < policy.min_gain;
  if (change_allowed && (state.probe == Probe::up ? gain_sufficient : gain_insufficient)) {
    ApplyProbedLimit(policy, state, now);
  } else if (gain_sufficient || gain_insufficient || state.pairs >= policy.max_pairs) {
    EndProbeWithoutChange(policy, state, now);
  }
}

// Adds a valid measurement to the current pair.
auto AddMeasurement(const LimitPolicy& policy, LimitState& state, double rate, core::Time now)
    -> void {
  if (state.first_rate == 0) {
    state.first_rate = rate;
    state.probing = !state.probing;
    state.settling = true;
    return;
  }
  const auto probed = static_cast<double>(ProbedLimit(policy, state));
  const auto limit = static_cast<double>(state.limit);
  const auto probed_rate = state.probing ? rate : state.first_rate;
  const auto limit_rate = state.probing ? state.first_rate : rate;
  // Relative gain in throughput per relative gain in requests in flight, both from the lower limit
  // to the higher one.
  const auto gain = state.probe == Probe::up
                        ? (probed_rate / limit_rate - 1) / (probed / limit - 1)
                        : (limit_rate / probed_rate - 1) / (limit / probed - 1);
  ++state.pairs;
  state.gain_sum += gain;
  state.gain_square_sum += gain * gain;
  // The next pair begins with the limit that this pair ended with.
  state.first_rate = 0;
  DecideProbe(policy, state, now);
}

}  // namespace

auto MakeLimitState(const LimitPolicy& policy, core::Time now) -> LimitState {
  LimitState state;
  state.limit = policy.max_slots;
  state.next_probe_at = now;
  StartWindow(state, now);
  return state;
}

auto ObserveInFlight(LimitState& state, std::uint32_t in_flight, core::Time now) -> void {
  if (now > state.in_flight_updated_at) {
    state.in_flight_integral +=
        static_cast<double>((now - state.in_flight_updated_at).count()) * state.in_flight;
    state.in_flight_updated_at = now;
  }
  state.in_flight = in_flight;
}

auto ObserveWork(LimitState& state, double work) -> void { state.work += work; }

auto ObserveLoadReport(LimitState& state, std::uint32_t waiting) -> void {
  state.queued_reports = waiting > 0 ? state.queued_reports + 1 : 0;
}

auto UpdateLimit(const LimitPolicy& policy, LimitState& state, core::Time now) -> std::uint32_t {
  ObserveInFlight(state, state.in_flight, now);
  const auto bounded = std::clamp(state.limit, policy.min_slots, policy.max_slots);
  if (bounded != state.limit) {
    state.limit = bounded;
    StartProbe(state, Probe::none);
    state.settling = true;
    StartWindow(state, now);
  }
  if (policy.min_slots >= policy.max_slots) return state.limit;

  if (state.probe == Probe::none) {
    if (now < state.next_probe_at) return state.limit;
    if (CanRaiseLimit(policy, state)) {
      StartProbe(state, Probe::up);
    } else if (state.limit > policy.min_slots) {
      StartProbe(state, Probe::down);
    } else {
      return state.limit;
    }
    StartWindow(state, now);
    return state.limit;
  }

  const auto elapsed = now - state.window_start;
  if (elapsed < policy.window) return EffectiveLimit(policy, state);
  const auto expired = elapsed >= policy.window * policy.max_discarded;
  if (!state.settling && !expired && state.work < policy.min_work) {
    return EffectiveLimit(policy, state);
  }

  const auto target = static_cast<double>(EffectiveLimit(policy, state));
  const auto in_flight = state.in_flight_integral / static_cast<double>(elapsed.count());
  const auto saturated = std::abs(in_flight - target) <= kInFlightTolerance * target;
  const auto rate = state.work / std::chrono::duration<double>(elapsed).count();
  const auto valid = saturated && state.work >= policy.min_work && !state.settling;
  if (valid) {
    state.discarded = 0;
    AddMeasurement(policy, state, rate, now);
  } else if (state.settling && saturated) {
    state.settling = false;
  } else if (++state.discarded >= policy.max_discarded || expired) {
    ScheduleNextProbe(policy, state, now);
  }
  StartWindow(state, now);
  return EffectiveLimit(policy, state);
}

}  // namespace filbertstair::admission
