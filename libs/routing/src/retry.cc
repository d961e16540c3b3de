#include "filbertstair/routing/retry.h"

#include <algorithm>
#include <cmath>

namespace filbertstair::routing {
namespace {

auto FindOrAddBudget(RetryTable& table, const std::string& service, const std::string& workspace)
    -> RetryBudget& {
  const auto [found, inserted] = table.budgets.try_emplace({service, workspace});
  if (inserted) found->second.tokens = kInitialRetryTokens;
  return found->second;
}

// Returns whether the attempt may succeed at another endpoint or at a later time.
auto IsTransient(core::Reason reason) -> bool {
  switch (reason) {
    case core::Reason::no_room:
    case core::Reason::grant_expired:
    case core::Reason::draining:
    case core::Reason::stale_incarnation:
    case core::Reason::wrong_owner:
    case core::Reason::withdrawn:
    case core::Reason::endpoint_unreachable:
    case core::Reason::engine_unreachable:
    case core::Reason::connection_lost:
      return true;
    default:
      return false;
  }
}

auto IsRetryAllowed(core::CallClass call_class, const Failure& failure) -> bool {
  if (failure.answer_started || !IsTransient(failure.reason)) return false;
  if (failure.outcome == core::Outcome::not_run) return true;
  return failure.outcome == core::Outcome::unknown && call_class == core::CallClass::repeatable;
}

}  // namespace

auto RecordFirstAttempt(RetryTable& table, const std::string& service, const std::string& workspace,
                        const document::Retries& rules) -> void {
  auto& budget = FindOrAddBudget(table, service, workspace);
  budget.tokens = std::min(kMaxRetryTokens, budget.tokens + rules.budget);
}

auto DecideRetry(RetryTable& table, const std::string& service, const std::string& workspace,
                 const document::Retries& rules, core::CallClass call_class, std::uint32_t attempts,
                 const Failure& failure) -> RetryVerdict {
  if (!IsRetryAllowed(call_class, failure)) return RetryVerdict::not_allowed;
  if (failure.reason == core::Reason::no_room) return RetryVerdict::retry;
  if (attempts >= rules.max_attempts) return RetryVerdict::too_many;
  const bool refused_by_process =
      failure.reason == core::Reason::draining && failure.outcome == core::Outcome::not_run;
  if (refused_by_process) return RetryVerdict::retry;
  auto& budget = FindOrAddBudget(table, service, workspace);
  if (budget.tokens < 1) return RetryVerdict::budget_exhausted;
  budget.tokens -= 1;
  return RetryVerdict::retry;
}

auto CombineOutcomes(core::Outcome earlier, core::Outcome last) -> core::Outcome {
  return last == core::Outcome::not_run ? earlier : last;
}

auto ToRetryReason(core::Reason reason) -> core::RetryReason {
  switch (reason) {
    case core::Reason::no_room:
      return core::RetryReason::no_room;
    case core::Reason::grant_expired:
      return core::RetryReason::grant_expired;
    case core::Reason::draining:
      return core::RetryReason::draining;
    case core::Reason::stale_incarnation:
    case core::Reason::wrong_owner:
      return core::RetryReason::stale_incarnation;
    case core::Reason::withdrawn:
      return core::RetryReason::withdrawn;
    case core::Reason::endpoint_unreachable:
      return core::RetryReason::unreachable;
    case core::Reason::engine_unreachable:
      return core::RetryReason::engine_error;
    default:
      return core::RetryReason::connection_lost;
  }
}

auto Backoff(std::uint32_t attempts, double jitter) -> core::Duration {
  const double factor = std::ldexp(1.0, static_cast<int>(std::min(attempts, 16U)));
  const double limit = std::min(static_cast<double>(kBackoffBase.count()) * factor,
                                static_cast<double>(kBackoffMax.count()));
  return core::Duration(static_cast<std::int64_t>(limit * jitter));
}

}  // namespace filbertstair::routing
