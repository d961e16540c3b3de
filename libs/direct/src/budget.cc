#include "filbertstair/direct/budget.h"

#include <algorithm>
#include <numeric>

namespace filbertstair::direct {
namespace {

using detail::kBudgetBuckets;

// Clears the buckets that left the window and returns the index of the current one.
auto AdvanceWindow(RetryBudget& budget, const RetryBudgetPolicy& policy, core::Time now)
    -> std::size_t {
  const auto width = policy.window / static_cast<std::int64_t>(kBudgetBuckets);
  const auto bucket = now.time_since_epoch() / width;
  const auto count = static_cast<std::int64_t>(kBudgetBuckets);
  const auto first = std::max(budget.newest_bucket + 1, bucket - count + 1);
  for (auto i = first; i <= bucket; ++i) {
    budget.requests[static_cast<std::size_t>(i % count)] = 0;
    budget.retries[static_cast<std::size_t>(i % count)] = 0;
  }
  budget.newest_bucket = std::max(budget.newest_bucket, bucket);
  return static_cast<std::size_t>(bucket % count);
}

auto Sum(const std::array<std::uint32_t, kBudgetBuckets>& counts) -> double {
  return std::accumulate(counts.begin(), counts.end(), 0.0);
}

}  // namespace

auto RecordRequest(RetryBudget& budget, const RetryBudgetPolicy& policy, core::Time now) -> void {
  ++budget.requests[AdvanceWindow(budget, policy, now)];
}

auto TryConsumeRetry(RetryBudget& budget, const RetryBudgetPolicy& policy, std::size_t entries,
                     core::Time now) -> bool {
  const auto use = MeasureRetryBudget(budget, policy, entries, now);
  if (use.retries + 1 > use.allowed) return false;
  ++budget.retries[AdvanceWindow(budget, policy, now)];
  return true;
}

auto MeasureRetryBudget(RetryBudget& budget, const RetryBudgetPolicy& policy, std::size_t entries,
                        core::Time now) -> RetryBudgetUse {
  AdvanceWindow(budget, policy, now);
  const double allowed =
      policy.retry_share * Sum(budget.requests) +
      policy.fleet_constant / static_cast<double>(std::max(entries, policy.min_entries));
  return {Sum(budget.retries), allowed};
}

}  // namespace filbertstair::direct
