#ifndef FILBERTSTAIR_DIRECT_BUDGET_H_
#define FILBERTSTAIR_DIRECT_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "filbertstair/core/types.h"

namespace filbertstair::direct {

// Limits of retries of one service at one entry. The fleet-wide limit is a share of the requests
// plus a constant per window. Each entry uses a share of its own requests and an equal part of the
// constant, so that the sum holds without coordination, also while entries restart and load moves
// between them: an entry knows nothing of the retries that its predecessor or another entry made
// for the same load.
struct RetryBudgetPolicy {
  // Longer than the 10 s of the fleet's limit, since the first bucket is incomplete and a retry
  // arrives at its replica later than it is counted.
  core::Duration window = std::chrono::milliseconds(10500);
  // Retries per request under steady load. Below the fleet's 0.2, since requests arrive at a
  // replica later than they are counted here.
  double retry_share = 0.15;
  // Retries per request beyond the number of requests in the window before. Another process may
  // have used `retry_share` of the same load until now, and both together must stay below 0.2.
  double new_load_share = 0.04;
  // Retries per window that the fleet may make in addition; the smallest limit in use is 54.
  double fleet_constant = 50;
  // Age of a process from which it uses its part of the constant. A predecessor may have used that
  // part within the last window.
  core::Duration constant_after = window;
  // Minimum number of entries by which the constant is divided, since an entry that has just
  // started knows few others.
  std::size_t min_entries = 10;
};

namespace detail {
// Buckets of a window, and those kept: the window and the one before it.
inline constexpr std::size_t kWindowBuckets = 42;
inline constexpr std::size_t kKeptBuckets = 2 * kWindowBuckets;

using BucketCounts = std::array<std::uint32_t, kKeptBuckets>;
}  // namespace detail

// Requests and retries of the last two windows, in buckets of 250 ms.
struct RetryBudget {
  // Start of the process; the default stands for one that has run for long.
  core::Time started_at{};
  detail::BucketCounts requests{};
  detail::BucketCounts retries{};
  std::int64_t newest_bucket = 0;
};

auto RecordRequest(RetryBudget& budget, const RetryBudgetPolicy& policy, core::Time now) -> void;

// Takes one retry from the budget of one of `entries` entries. Returns false and leaves the budget
// unchanged if none is left.
auto TryConsumeRetry(RetryBudget& budget, const RetryBudgetPolicy& policy, std::size_t entries,
                     core::Time now) -> bool;

// Retries of the last window, and the most that the entry's requests and its part of the constant
// allow.
struct RetryBudgetUse {
  double retries = 0;
  double allowed = 0;
};

auto MeasureRetryBudget(RetryBudget& budget, const RetryBudgetPolicy& policy, std::size_t entries,
                        core::Time now) -> RetryBudgetUse;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_BUDGET_H_
