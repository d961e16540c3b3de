#include "filbertstair/direct/budget.h"

#include <algorithm>

namespace filbertstair::direct {
namespace {

using detail::kKeptBuckets;
using detail::kWindowBuckets;

// Clears the buckets that are no longer kept and returns the index of the current one.
auto AdvanceWindow(RetryBudget& budget, const RetryBudgetPolicy& policy, core::Time now)
    -> std::size_t {
  const auto width = policy.window / static_cast<std::int64_t>(kWindowBuckets);
  const auto bucket = now.time_since_epoch() / width;
  const auto count = static_cast<std::int64_t>(kKeptBuckets);
  const auto first = std::max(budget.newest_bucket + 1, bucket - count + 1);
  for (auto i = first; i <= bucket; ++i) {
    budget.requests[static_cast<std::size_t>(i % count)] = 0;
    budget.retries[static_cast<std::size_t>(i % count)] = 0;
  }
  budget.newest_bucket = std::max(budget.newest_bucket, bucket);
  return static_cast<std::size_t>(bucket % count);
}

// Returns the sum of the window that ended `windows_ago` windows before the newest bucket.
auto SumWindow(const detail::BucketCounts& counts, std::int64_t newest_bucket,
               std::size_t windows_ago) -> double {
  double sum = 0;
  for (std::size_t i = 0; i < kWindowBuckets; ++i) {
    const auto age = windows_ago * kWindowBuckets + i;
    sum += counts[(static_cast<std::size_t>(newest_bucket) + kKeptBuckets - age) % kKeptBuckets];
  }
  return sum;
}

// Returns an entry's part of the fleet's constant.
auto PartOfConstant(const RetryBudget& budget, const RetryBudgetPolicy& policy, std::size_t entries,
                    core::Time now) -> double {
  if (now - budget.started_at < policy.constant_after) return 0;
  return policy.fleet_constant / static_cast<double>(std::max(entries, policy.min_entries));
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
  const auto requests = SumWindow(budget.requests, budget.newest_bucket, 0);
  const auto steady = std::min(requests, SumWindow(budget.requests, budget.newest_bucket, 1));
  const double allowed = policy.retry_share * steady + policy.new_load_share * (requests - steady) +
                         PartOfConstant(budget, policy, entries, now);
  return {SumWindow(budget.retries, budget.newest_bucket, 0), allowed};
}

}  // namespace filbertstair::direct
