#include "filbertstair/direct/load_estimate.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "filbertstair/core/rendezvous.h"

namespace filbertstair::direct {
namespace {

// Share of its weight that a sample of this age has left.
auto Decay(core::Duration age, core::Duration half_life) -> double {
  const auto half_lives = static_cast<double>(age.count()) / static_cast<double>(half_life.count());
  return std::exp2(-std::max(half_lives, 0.0));
}

}  // namespace

auto AddSample(DecayingMean& mean, double sample, double weight, core::Duration half_life,
               core::Time now) -> void {
  const double kept = Decay(now - mean.updated_at, half_life);
  mean.sum = mean.sum * kept + sample * weight;
  mean.weight = mean.weight * kept + weight;
  mean.updated_at = now;
}

auto RecordReport(LoadEstimate& estimate, const LoadEstimatePolicy& policy,
                  const LoadReport& report, core::Time now) -> void {
  estimate.waiting = report.waiting;
  estimate.reported_at = now;
  if (!report.pace || !std::isfinite(*report.pace) || *report.pace <= 0) return;
  const double interval = static_cast<double>((now - estimate.pace.updated_at).count()) /
                          static_cast<double>(policy.pace_sample_interval.count());
  const double weight = estimate.pace.weight > 0 ? std::clamp(interval, 0.0, 1.0) : 1;
  AddSample(estimate.pace, std::clamp(*report.pace, policy.min_pace, policy.max_pace), weight,
            policy.pace_half_life, now);
}

auto EstimatePace(const LoadEstimate& estimate, const LoadEstimatePolicy& policy, core::Time now)
    -> double {
  const double kept = Decay(now - estimate.pace.updated_at, policy.pace_half_life);
  return (estimate.pace.sum * kept + policy.usual_pace_weight) /
         (estimate.pace.weight * kept + policy.usual_pace_weight);
}

auto RecordStart(DecayingMean& start_ratio, const LoadEstimatePolicy& policy,
                 core::Duration calculated, core::Duration observed, core::Time now) -> void {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const double calculated_ms = Milliseconds(calculated).count();
  if (calculated_ms <= 0) return;
  const double ratio = std::clamp(Milliseconds(observed).count() / calculated_ms,
                                  policy.min_start_ratio, policy.max_start_ratio);
  AddSample(start_ratio, ratio, calculated_ms, policy.start_half_life, now);
}

auto EstimateStartRatio(const DecayingMean& start_ratio, const LoadEstimatePolicy& policy,
                        double usual, core::Time now) -> double {
  const double kept = Decay(now - start_ratio.updated_at, policy.start_half_life);
  return (start_ratio.sum * kept + usual * policy.mean_start_weight_ms) /
         (start_ratio.weight * kept + policy.mean_start_weight_ms);
}

auto DrawForReplica(std::uint64_t random, std::string_view replica) -> double {
  constexpr double range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  constexpr double least = 1e-12;
  const double uniform = std::clamp(
      static_cast<double>(core::RendezvousScore(random, replica)) / range, least, 1 - least);
  return -std::log(-std::log(uniform));
}

auto EstimateOverrun(const LoadEstimate& estimate, const LoadEstimatePolicy& policy, core::Time now)
    -> double {
  // Only replicas that share their machines are overrun while others have room.
  if (estimate.waiting == 0 || estimate.pace.weight == 0) return 0;
  return Decay(now - estimate.reported_at, policy.waiting_half_life);
}

}  // namespace filbertstair::direct
