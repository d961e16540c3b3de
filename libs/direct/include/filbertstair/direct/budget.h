#ifndef FILBERTSTAIR_DIRECT_BUDGET_H_
#define FILBERTSTAIR_DIRECT_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "filbertstair/core/types.h"

namespace filbertstair::direct {

// Limits of retries of one service at one entry. The fleet-wide limit is a share of the requests
// plus a constant per window. The share scales with each entry's own requests; each entry gets an
// equal part of the constant, so that the sum holds without coordination.
struct RetryBudgetPolicy {
  // Longer than the 10 s of the fleet's limit, since the first bucket is incomplete and a retry
  // arrives at its replica later than it is counted.
  core::Duration window = std::chrono::milliseconds(10500);
  // Retries per request. Below the fleet's 0.2, since requests arrive at a replica later than they
  // are counted here.
  double retry_share = 0.15;
  // Retries per window that the fleet may make in addition; the smallest limit in use is 54.
  double fleet_constant = 50;
  // Minimum number of entries by which the constant is divided, since an entry that has just
  // started knows few others.
  std::size_t min_entries = 10;
};

namespace detail {
inline constexpr std::size_t kBudgetBuckets = 42;
}  // namespace detail

// Requests and retries of the last window, in buckets of 250 ms.
struct RetryBudget {
  std::array<std::uint32_t, detail::kBudgetBuckets> requests{};
  std::array<std::uint32_t, detail::kBudgetBuckets> retries{};
  std::int64_t newest_bucket = 0;
};

auto RecordRequest(RetryBudget& budget, const RetryBudgetPolicy& policy, core::Time now) -> void;

// Takes one retry from the budget of one of `entries` entries. Returns false and leaves the budget
// unchanged if none is left.
auto TryConsumeRetry(RetryBudget& budget, const RetryBudgetPolicy& policy, std::size_t entries,
                     core::Time now) -> bool;

// Retries of the last window, and the most that the requests of that window and the entry's part of
// the constant allow.
struct RetryBudgetUse {
  double retries = 0;
  double allowed = 0;
};

auto MeasureRetryBudget(RetryBudget& budget, const RetryBudgetPolicy& policy, std::size_t entries,
                        core::Time now) -> RetryBudgetUse;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_BUDGET_H_
