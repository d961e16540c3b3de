#ifndef FILBERTSTAIR_ROUTING_RETRY_H_
#define FILBERTSTAIR_ROUTING_RETRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "filbertstair/core/reason.h"
#include "filbertstair/core/types.h"
#include "filbertstair/document/service.h"

namespace filbertstair::routing {

// Retry budget of one workspace and service, as a token bucket: each first attempt adds a fraction
// of a token, each retry costs one token, and the bucket holds at most kMaxRetryTokens.
// A new budget in a RetryTable starts with kInitialRetryTokens.
struct RetryBudget {
  double tokens = 0;
};

// Capacity and initial fill of a retry budget. They allow a few retries at low request rates, at
// which first attempts add tokens too slowly.
inline constexpr double kMaxRetryTokens = 10;
inline constexpr double kInitialRetryTokens = 2;

// Retry budgets by service and workspace.
struct RetryTable {
  std::map<std::pair<std::string, std::string>, RetryBudget> budgets;
};

// Adds the share of a first attempt, `rules.budget`, to the retry budget.
auto RecordFirstAttempt(RetryTable& table, const std::string& service, const std::string& workspace,
                        const document::Retries& rules) -> void;

// How an attempt failed.
struct Failure {
  core::Reason reason = core::Reason::internal_error;
  // `not_run` requires proof that the attempt was not executed. An attempt that ran is never
  // retried.
  core::Outcome outcome = core::Outcome::unknown;
  // Whether part of the answer has already been sent to the caller.
  bool answer_started = false;
};

// Decision on a retry. `not_allowed` means that a retry is unsafe or useless, `budget_exhausted`
// that the retry budget has less than one token, and `too_many` that the maximum number of attempts
// has been made.
enum class RetryVerdict { retry, not_allowed, budget_exhausted, too_many };

// Decides whether a request may be retried after `failure` and, if so, takes a token from the
// budget. `attempts` is the number of attempts made so far. After no_room the request returns to
// the queue without using a token, because the endpoint refused it before doing any work; so did
// one that is draining, whose refusals otherwise use up the budget before its state is known here.
auto DecideRetry(RetryTable& table, const std::string& service, const std::string& workspace,
                 const document::Retries& rules, core::CallClass call_class, std::uint32_t attempts,
                 const Failure& failure) -> RetryVerdict;

// Returns the outcome of a request whose earlier attempts ended with `earlier` and whose last
// attempt ended with `last`. The result is `not_run` only if it holds for every attempt: a retried
// request may have run in an earlier attempt even if the last one could not be sent.
auto CombineOutcomes(core::Outcome earlier, core::Outcome last) -> core::Outcome;

// Returns the reason under which metrics count a retry after a failure with `reason`.
auto ToRetryReason(core::Reason reason) -> core::RetryReason;

// Bounds of the exponential backoff before jitter.
inline constexpr core::Duration kBackoffBase = std::chrono::milliseconds(10);
inline constexpr core::Duration kBackoffMax = std::chrono::milliseconds(500);

// Returns the delay before attempt number `attempts` + 1. It doubles with each attempt from
// kBackoffBase up to kBackoffMax and is scaled by `jitter` in [0, 1), so that requests that failed
// at the same time do not retry at the same time.
auto Backoff(std::uint32_t attempts, double jitter) -> core::Duration;

}  // namespace filbertstair::routing

namespace filbertstair::core {
template <>
inline constexpr NameTable<routing::RetryVerdict, 4> kNames<routing::RetryVerdict>{{
    {routing::RetryVerdict::retry, "retry"},
    {routing::RetryVerdict::not_allowed, "not_allowed"},
    {routing::RetryVerdict::budget_exhausted, "budget_exhausted"},
    {routing::RetryVerdict::too_many, "too_many"},
}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_ROUTING_RETRY_H_
