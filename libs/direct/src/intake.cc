#include "filbertstair/direct/intake.h"

#include <algorithm>
#include <limits>

namespace filbertstair::direct {
namespace {

// Weight of the last interval in the mean rate: at 50 ms an interval, the mean of some 0.5 s.
constexpr double kMeanWeight = 0.1;

auto ToSeconds(core::Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

// Requests that may be taken in at once; one at least, however low the rate.
auto Burst(const Intake& intake, const IntakePolicy& policy) -> double {
  return std::max(1.0, intake.rate * ToSeconds(policy.burst));
}

auto Credit(const Intake& intake, const IntakePolicy& policy, core::Time now) -> double {
  const double credit = intake.credit + intake.rate * ToSeconds(now - intake.at);
  return std::min(Burst(intake, policy), credit);
}

auto Change(const IntakePolicy& policy, core::Duration delay) -> double {
  const double error = 1 - ToSeconds(delay) / ToSeconds(policy.target);
  return std::clamp(1 + policy.gain * error, policy.max_fall, policy.max_rise);
}

auto LeastRate(const Intake& intake, const IntakePolicy& policy) -> double {
  return policy.least_rate * (intake.cores > 0 ? intake.cores : 1);
}

auto MostRate(const Intake& intake, const IntakePolicy& policy) -> double {
  return intake.cores > 0 ? policy.most_rate * intake.cores
                          : std::numeric_limits<double>::infinity();
}

}  // namespace

auto MakeIntake(const IntakePolicy& policy, double cores, core::Time now) -> Intake {
  Intake intake{.cores = cores, .at = now, .adapted_at = now};
  intake.rate = MostRate(intake, policy);
  intake.credit = Burst(intake, policy);
  return intake;
}

auto Adapt(Intake& intake, const IntakePolicy& policy, core::Duration delay, core::Time now)
    -> void {
  const double elapsed = ToSeconds(now - intake.adapted_at);
  if (elapsed <= 0) return;
  intake.mean_rate += (intake.taken / elapsed - intake.mean_rate) * kMeanWeight;
  intake.taken = 0;
  intake.adapted_at = now;
  intake.credit = Credit(intake, policy, now);
  intake.at = now;
  // What is not asked says nothing of what the worker can do; it begins from what it took in.
  const double change = Change(policy, delay);
  if (change < 1) {
    const double begin = std::max(intake.mean_rate, LeastRate(intake, policy));
    intake.rate = std::min(intake.rate, begin);
  }
  intake.rate =
      std::clamp(intake.rate * change, LeastRate(intake, policy), MostRate(intake, policy));
}

auto ToStanding(const IntakePolicy& policy, double taken, double share) -> Standing {
  if (taken < policy.below_share * share) return Standing::below;
  return taken > policy.above_share * share ? Standing::above : Standing::within;
}

auto RetryAfter(const IntakePolicy& policy, double asked, double share, double draw)
    -> core::Duration {
  if (asked < policy.flood_share * share) return policy.retry_soon;
  const auto range = policy.retry_last - policy.retry_first;
  return policy.retry_first + std::chrono::duration_cast<core::Duration>(range * draw);
}

auto IsTight(const Intake& intake, const IntakePolicy& policy, core::Time now) -> bool {
  return !MayTake(intake, policy, Standing::above, now);
}

auto MayTake(const Intake& intake, const IntakePolicy& policy, Standing standing, core::Time now)
    -> bool {
  const double credit = Credit(intake, policy, now);
  switch (standing) {
    case Standing::below:
      return credit >= 1 - intake.rate * ToSeconds(policy.ahead);
    case Standing::within:
      return credit >= 1;
    case Standing::above:
      break;
  }
  return credit >= std::max(1.0, Burst(intake, policy) / 2);
}

auto Take(Intake& intake, const IntakePolicy& policy, core::Time now) -> void {
  ++intake.taken;
  intake.credit = Credit(intake, policy, now) - 1;
  intake.at = now;
}

}  // namespace filbertstair::direct
