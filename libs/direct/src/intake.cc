#include "filbertstair/direct/intake.h"

#include <algorithm>
#include <limits>

namespace filbertstair::direct {
namespace {

// Weight of the last interval in the mean rate: with intervals of 50 ms, the mean covers about 0.5
// s.
constexpr double kMeanWeight = 0.1;

auto ToSeconds(core::Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

// Requests that may be admitted at once; at least one, however low the rate.
auto BurstCredit(const AdmissionLimiter& limiter, const AdmissionRatePolicy& policy) -> double {
  return std::max(1.0, limiter.rate * ToSeconds(policy.burst));
}

auto CurrentCredit(const AdmissionLimiter& limiter, const AdmissionRatePolicy& policy,
                   core::Time now) -> double {
  const double credit = limiter.credit + limiter.rate * ToSeconds(now - limiter.credit_at);
  return std::min(BurstCredit(limiter, policy), credit);
}

auto RateFactor(const AdmissionRatePolicy& policy, core::Duration delay) -> double {
  const double error = 1 - ToSeconds(delay) / ToSeconds(policy.target_delay);
  return std::clamp(1 + policy.gain * error, policy.min_rate_factor, policy.max_rate_factor);
}

auto MinRate(const AdmissionLimiter& limiter, const AdmissionRatePolicy& policy) -> double {
  return policy.min_rate_per_core * (limiter.cores > 0 ? limiter.cores : 1);
}

auto MaxRate(const AdmissionLimiter& limiter, const AdmissionRatePolicy& policy) -> double {
  return limiter.cores > 0 ? policy.max_rate_per_core * limiter.cores
                           : std::numeric_limits<double>::infinity();
}

}  // namespace

auto MakeAdmissionLimiter(const AdmissionRatePolicy& policy, double cores, core::Time now)
    -> AdmissionLimiter {
  AdmissionLimiter limiter{.cores = cores, .credit_at = now, .rate_updated_at = now};
  limiter.rate = MaxRate(limiter, policy);
  limiter.credit = BurstCredit(limiter, policy);
  return limiter;
}

auto UpdateAdmissionRate(AdmissionLimiter& limiter, const AdmissionRatePolicy& policy,
                         core::Duration delay, core::Time now) -> void {
  const double elapsed = ToSeconds(now - limiter.rate_updated_at);
  if (elapsed <= 0) return;
  limiter.mean_admitted_rate +=
      (limiter.admitted / elapsed - limiter.mean_admitted_rate) * kMeanWeight;
  limiter.admitted = 0;
  limiter.rate_updated_at = now;
  limiter.credit = CurrentCredit(limiter, policy, now);
  limiter.credit_at = now;
  // Unused rate doesn't show what the worker can do, so the rate falls from what it admitted.
  const double factor = RateFactor(policy, delay);
  if (factor < 1) {
    const double start_rate = std::max(limiter.mean_admitted_rate, MinRate(limiter, policy));
    limiter.rate = std::min(limiter.rate, start_rate);
  }
  limiter.rate =
      std::clamp(limiter.rate * factor, MinRate(limiter, policy), MaxRate(limiter, policy));
}

auto ClassifyShare(const AdmissionRatePolicy& policy, double admitted, double share) -> ShareClass {
  if (admitted < policy.below_share_ratio * share) return ShareClass::below;
  return admitted > policy.above_share_ratio * share ? ShareClass::above : ShareClass::within;
}

auto ChooseRetryDelay(const AdmissionRatePolicy& policy, double requested, double share,
                      double uniform_sample) -> core::Duration {
  if (requested < policy.flood_share_ratio * share) return policy.short_retry_delay;
  const auto range = policy.max_flood_retry_delay - policy.min_flood_retry_delay;
  return policy.min_flood_retry_delay +
         std::chrono::duration_cast<core::Duration>(range * uniform_sample);
}

auto IsRateLimited(const AdmissionLimiter& limiter, const AdmissionRatePolicy& policy,
                   core::Time now) -> bool {
  return !MayAdmit(limiter, policy, ShareClass::above, now);
}

auto RecordOutput(AdmissionLimiter& limiter, const AdmissionRatePolicy& policy, double output)
    -> double {
  if (output <= 0) return 1;
  limiter.mean_output +=
      limiter.mean_output > 0 ? (output - limiter.mean_output) * policy.output_weight : output;
  const double variable_cost = (1 - policy.fixed_cost) * output / limiter.mean_output;
  return std::min(policy.fixed_cost + variable_cost, policy.max_cost);
}

auto MayAdmit(const AdmissionLimiter& limiter, const AdmissionRatePolicy& policy,
              ShareClass share_class, core::Time now, double cost) -> bool {
  const double credit = CurrentCredit(limiter, policy, now);
  const double burst = BurstCredit(limiter, policy);
  // A request that costs more than the burst would never be admitted.
  const double needed = std::min(cost, burst);
  switch (share_class) {
    case ShareClass::below:
      return credit >= needed - limiter.rate * ToSeconds(policy.borrow_window);
    case ShareClass::within:
      return credit >= needed;
    case ShareClass::above:
      break;
  }
  return credit >= std::max(needed, burst / 2);
}

auto RecordAdmission(AdmissionLimiter& limiter, const AdmissionRatePolicy& policy, core::Time now,
                     double cost) -> void {
  limiter.admitted += cost;
  limiter.credit = CurrentCredit(limiter, policy, now) - cost;
  limiter.credit_at = now;
}

}  // namespace filbertstair::direct
