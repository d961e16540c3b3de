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

// Retry budget of one workspace and service: a first attempt earns a share of a retry, a retry
// costs one, and at most kMaxRetryTokens are saved up.
struct RetryBudget {
  double tokens = 0;
};

// Allows a few retries at low rates, where a share of first attempts is long in coming.
inline constexpr double kMaxRetryTokens = 10;
inline constexpr double kInitialRetryTokens = 2;

struct RetryTable {
  std::map<std::pair<std::string, std::string>, RetryBudget> budgets;
};

auto RecordFirstAttempt(RetryTable& table, const std::string& service, const std::string& workspace,
                        const document::Retries& rules) -> void;

// How an attempt failed.
struct Failure {
  core::Reason reason = core::Reason::internal_error;
  // Proved not_run, or unknown. An attempt that ran is never repeated.
  core::Outcome outcome = core::Outcome::unknown;
  // Whether a part of the answer has reached the caller.
  bool answer_started = false;
};

enum class RetryVerdict { retry, not_allowed, budget_exhausted, too_many };

// Decides whether the request may be submitted again after `failure`, and takes the retry from the
// budget if so. `attempts` counts those made. After no_room the request goes to the queue instead,
// which costs nothing: the endpoint refused it before any work.
auto DecideRetry(RetryTable& table, const std::string& service, const std::string& workspace,
                 const document::Retries& rules, core::CallClass call_class, std::uint32_t attempts,
                 const Failure& failure) -> RetryVerdict;

// Returns the outcome of a request whose earlier attempts ended with `earlier` and whose last one
// ended with `last`. `not_run` needs proof for every attempt: a repeated request may have run
// before its last attempt could not be sent.
auto CombineOutcomes(core::Outcome earlier, core::Outcome last) -> core::Outcome;

// Reason under which a retry after `reason` is counted.
auto ToRetryReason(core::Reason reason) -> core::RetryReason;

// Wait before attempt number `attempts` + 1: doubles from kBackoffBase to kBackoffMax and is scaled
// by `jitter` in [0, 1), so that callers whose attempts failed together spread out.
inline constexpr core::Duration kBackoffBase = std::chrono::milliseconds(10);
inline constexpr core::Duration kBackoffMax = std::chrono::milliseconds(500);
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
