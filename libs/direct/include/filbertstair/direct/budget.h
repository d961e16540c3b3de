#ifndef FILBERTSTAIR_DIRECT_BUDGET_H_
#define FILBERTSTAIR_DIRECT_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "filbertstair/core/types.h"

namespace filbertstair::direct {

// Bounds of repeated requests of one service at one entry. The fleet's bound is a share of the
// requests and a constant per window; the share divides by itself, and each entry takes an equal
// part of the constant, so that the sum holds without messages about it.
struct RetryBudgetPolicy {
  core::Duration window = std::chrono::seconds(10);
  // Below the fleet's 0.2, since requests arrive at a replica later than they are counted here.
  double retry_share = 0.15;
  // The fleet's constant; the smallest in use is 54.
  double fleet_constant = 50;
  // Entries among which the constant is divided at least, since one that has just started knows of
  // few others.
  std::size_t min_entries = 10;
};

namespace detail {
inline constexpr std::size_t kBudgetBuckets = 10;
}  // namespace detail

// Requests and repeats of the last window, in buckets of a tenth of it.
struct RetryBudget {
  std::array<std::uint32_t, detail::kBudgetBuckets> requests{};
  std::array<std::uint32_t, detail::kBudgetBuckets> retries{};
  std::int64_t newest_bucket = 0;
};

auto RecordRequest(RetryBudget& budget, const RetryBudgetPolicy& policy, core::Time now) -> void;

// Takes one repeat from the budget of one of `entries`. Returns false, and takes nothing, if none
// is left.
auto TryConsumeRetry(RetryBudget& budget, const RetryBudgetPolicy& policy, std::size_t entries,
                     core::Time now) -> bool;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_BUDGET_H_
