#ifndef FILBERTSTAIR_CORE_REASON_H_
#define FILBERTSTAIR_CORE_REASON_H_

#include <array>

#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"

namespace filbertstair::core {

// Why a request was refused or its answer was cut short.
enum class Reason {
  malformed_request,
  request_too_large,
  unknown_service,
  conflicting_names,
  unknown_workspace,
  unknown_credential,
  stale_configuration,
  overloaded,
  invalid_idempotency_key,
  no_configuration,
  queue_full,
  prompt_quarantined,
  deadline_exceeded,
  draining,
  no_endpoint,
  no_allowed_region,
  no_room,
  grant_expired,
  stale_incarnation,
  duplicate_attempt,
  key_repeated,
  key_history_lost,
  wrong_owner,
  owner_unreachable,
  withdrawn,
  endpoint_unreachable,
  engine_unreachable,
  engine_error,
  connection_lost,
  answer_cut,
  retry_budget_exhausted,
  internal_error,
};
template <>
inline constexpr NameTable<Reason, 32> kNames<Reason>{{
    {Reason::malformed_request, "malformed_request"},
    {Reason::request_too_large, "request_too_large"},
    {Reason::unknown_service, "unknown_service"},
    {Reason::conflicting_names, "conflicting_names"},
    {Reason::unknown_workspace, "unknown_workspace"},
    {Reason::unknown_credential, "unknown_credential"},
    {Reason::stale_configuration, "stale_configuration"},
    {Reason::overloaded, "overloaded"},
    {Reason::invalid_idempotency_key, "invalid_idempotency_key"},
    {Reason::no_configuration, "no_configuration"},
    {Reason::queue_full, "queue_full"},
    {Reason::prompt_quarantined, "prompt_quarantined"},
    {Reason::deadline_exceeded, "deadline_exceeded"},
    {Reason::draining, "draining"},
    {Reason::no_endpoint, "no_endpoint"},
    {Reason::no_allowed_region, "no_allowed_region"},
    {Reason::no_room, "no_room"},
    {Reason::grant_expired, "grant_expired"},
    {Reason::stale_incarnation, "stale_incarnation"},
    {Reason::duplicate_attempt, "duplicate_attempt"},
    {Reason::key_repeated, "key_repeated"},
    {Reason::key_history_lost, "key_history_lost"},
    {Reason::wrong_owner, "wrong_owner"},
    {Reason::owner_unreachable, "owner_unreachable"},
    {Reason::withdrawn, "withdrawn"},
    {Reason::endpoint_unreachable, "endpoint_unreachable"},
    {Reason::engine_unreachable, "engine_unreachable"},
    {Reason::engine_error, "engine_error"},
    {Reason::connection_lost, "connection_lost"},
    {Reason::answer_cut, "answer_cut"},
    {Reason::retry_budget_exhausted, "retry_budget_exhausted"},
    {Reason::internal_error, "internal_error"},
}};

// HTTP status of a refusal, by reason. Lists the reasons in the order of the enum.
inline constexpr std::array<std::pair<Reason, int>, 32> kHttpStatus{{
    {Reason::malformed_request, 400},
    {Reason::request_too_large, 413},
    {Reason::unknown_service, 404},
    {Reason::conflicting_names, 400},
    {Reason::unknown_workspace, 403},
    {Reason::unknown_credential, 401},
    {Reason::stale_configuration, 503},
    {Reason::overloaded, 503},
    {Reason::invalid_idempotency_key, 400},
    {Reason::no_configuration, 503},
    {Reason::queue_full, 429},
    {Reason::prompt_quarantined, 503},
    {Reason::deadline_exceeded, 504},
    {Reason::draining, 503},
    {Reason::no_endpoint, 503},
    {Reason::no_allowed_region, 503},
    {Reason::no_room, 503},
    {Reason::grant_expired, 503},
    {Reason::stale_incarnation, 503},
    {Reason::duplicate_attempt, 409},
    {Reason::key_repeated, 409},
    {Reason::key_history_lost, 409},
    {Reason::wrong_owner, 503},
    {Reason::owner_unreachable, 503},
    {Reason::withdrawn, 503},
    {Reason::endpoint_unreachable, 502},
    {Reason::engine_unreachable, 502},
    {Reason::engine_error, 502},
    {Reason::connection_lost, 502},
    {Reason::answer_cut, 502},
    {Reason::retry_budget_exhausted, 503},
    {Reason::internal_error, 500},
}};

// Returns the HTTP status of a refusal for `reason`.
constexpr auto HttpStatus(Reason reason) -> int {
  for (const auto& [candidate, status] : kHttpStatus) {
    if (candidate == reason) return status;
  }
  return 500;
}

// Why a request was retried.
enum class RetryReason {
  no_room,
  grant_expired,
  draining,
  stale_incarnation,
  withdrawn,
  unreachable,
  connection_lost,
  engine_error
};
template <>
inline constexpr NameTable<RetryReason, 8> kNames<RetryReason>{{
    {RetryReason::no_room, "no_room"},
    {RetryReason::grant_expired, "grant_expired"},
    {RetryReason::draining, "draining"},
    {RetryReason::stale_incarnation, "stale_incarnation"},
    {RetryReason::withdrawn, "withdrawn"},
    {RetryReason::unreachable, "unreachable"},
    {RetryReason::connection_lost, "connection_lost"},
    {RetryReason::engine_error, "engine_error"},
}};

}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CORE_REASON_H_
