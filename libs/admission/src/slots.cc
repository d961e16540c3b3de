#include "filbertstair/admission/slots.h"

#include <algorithm>
#include <cmath>

namespace filbertstair::admission {
namespace {

// Time constant of the completion rate: long enough to include several completions of requests that
// take seconds, short enough to follow a change of the load.
constexpr double kRateTimeConstantSeconds = 10.0;

// Expected idle share of the slots below which no grants are issued in advance. It is one fifth of
// the 0.5 % of slot time that may be idle while requests are queued.
constexpr double kMaxIdleShare = 0.001;

auto ToSeconds(core::Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto ClaimedSlots(const Slots& slots) -> std::uint32_t {
  return slots.running + slots.staged + slots.granted;
}

}  // namespace

auto EffectiveLimit(const Slots& slots) -> std::uint32_t {
  return std::min(slots.limit, slots.requested_limit);
}

auto RaiseRequestedLimit(Slots& slots) -> void {
  if (slots.requested_limit == 0 || slots.requested_limit == kNoRequestedLimit) return;
  slots.requested_limit *= 2;
  if (slots.requested_limit >= slots.limit) slots.requested_limit = kNoRequestedLimit;
}

auto FreeSlots(const Slots& slots) -> std::uint32_t {
  const auto limit = EffectiveLimit(slots);
  return limit - std::min(limit, ClaimedSlots(slots));
}

auto CanStartAttempt(const Slots& slots) -> bool { return slots.running < EffectiveLimit(slots); }

auto CanAdmitWithoutGrant(const Slots& slots, bool demand_waits) -> bool {
  return !demand_waits && FreeSlots(slots) > 0;
}

auto CanIssueGrant(const Slots& slots, std::uint32_t allowance) -> bool {
  // While the replica asks for fewer requests, none is offered in advance.
  if (slots.requested_limit != kNoRequestedLimit) return FreeSlots(slots) > 0;
  return ClaimedSlots(slots) < slots.limit + allowance;
}

auto GrantAllowance(const Slots& slots, double completions_per_second, core::Duration round_trip)
    -> std::uint32_t {
  const auto expected = completions_per_second * ToSeconds(round_trip);
  // Without an allowance, each completion leaves one slot idle for a round trip.
  if (expected < kMaxIdleShare * slots.limit) return 0;
  // Mean plus one standard deviation of a Poisson-distributed count. No more requests than the
  // limit can complete.
  const auto allowance = std::ceil(expected + std::sqrt(expected));
  return static_cast<std::uint32_t>(std::min<double>(allowance, slots.limit));
}

auto ObserveCompletion(CompletionRate& rate, core::Time now) -> void {
  rate.per_second = CompletionsPerSecond(rate, now) + 1 / kRateTimeConstantSeconds;
  rate.updated_at = std::max(rate.updated_at, now);
}

auto CompletionsPerSecond(const CompletionRate& rate, core::Time now) -> double {
  const auto age = ToSeconds(std::max(now - rate.updated_at, core::Duration::zero()));
  return rate.per_second * std::exp(-age / kRateTimeConstantSeconds);
}

}  // namespace filbertstair::admission
