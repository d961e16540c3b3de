#ifndef FILBERTSTAIR_ADMISSION_ATTEMPTS_H_
#define FILBERTSTAIR_ADMISSION_ATTEMPTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "filbertstair/admission/refusal.h"
#include "filbertstair/core/types.h"

namespace filbertstair::admission {

// Bounds for the records of attempts that no longer run.
struct AttemptPolicy {
  // Time for which the end or refusal of an attempt is remembered.
  core::Duration retention = std::chrono::minutes(10);
  // Records over all entries, at about 140 bytes each.
  std::size_t max_records = 32768;
  // Entry incarnations with records or a low-water mark, at about 200 bytes each.
  std::size_t max_sources = 4096;
};

enum class AttemptState { staged, running, ended };

struct Attempt {
  AttemptState state = AttemptState::staged;
  // Meaningful once ended: not_run, ran or unknown.
  AttemptStatus status = AttemptStatus::unknown;
  // Answer to the Submit if it was refused; repeated for duplicates.
  std::optional<Refusal> refusal;
  core::Time deadline{};
};

// Attempts of one incarnation of an entry.
struct AttemptSource {
  // Serials below it without a record are refused: their record may have been evicted.
  std::uint64_t low_water = 0;
  std::map<std::uint64_t, Attempt> attempts;
  core::Time changed_at{};
};

struct AttemptTable {
  // Incarnation of this process.
  core::Incarnation incarnation = 0;
  bool draining = false;
  // By entry and incarnation.
  std::map<std::pair<std::string, core::Incarnation>, AttemptSource> sources;
  // Entry incarnations below it without a source are refused: the source may have been evicted.
  core::Incarnation low_water = 0;
  // Order of ended records by the time of their end, for eviction.
  std::deque<std::pair<core::Time, core::AttemptId>> ended;
};

// Decides on a submitted attempt and records the decision. `endpoint` is the incarnation of this
// process that the Submit names. Refuses, without a record, one that names another incarnation
// (stale_incarnation, unknown). Refuses one that was decided before: withdrawn or refused ones with
// their first refusal, others with duplicate_attempt and what is known. Refuses one
// whose record may have been evicted (duplicate_attempt or stale_incarnation, unknown). Refuses
// with not_run one that arrives while draining or past its deadline. Otherwise records the attempt
// as staged and returns nothing; the caller then calls StartAttempt, or RefuseAttempt if a later
// check fails.
auto AdmitAttempt(AttemptTable& table, const AttemptPolicy& policy, const core::AttemptId& id,
                  core::Incarnation endpoint, core::Time deadline, core::Time now)
    -> std::optional<Refusal>;

// Marks a staged attempt as running. Returns false if it is not staged.
auto StartAttempt(AttemptTable& table, const core::AttemptId& id) -> bool;

// Ends a staged attempt as not run. `refusal` is the answer to its Submit, whose status may concern
// an earlier attempt with the same key. Returns false if the attempt is not staged.
auto RefuseAttempt(AttemptTable& table, const core::AttemptId& id, const Refusal& refusal,
                   core::Time now) -> bool;

// Ends a running attempt. `outcome` is not_run only if no byte of it reached the replica. Returns
// false if it is not running.
auto EndAttempt(AttemptTable& table, const core::AttemptId& id, core::Outcome outcome,
                core::Time now) -> bool;

// Answers a Withdraw. An attempt that has not started is recorded as refused and answered not_run,
// also if its Submit has not arrived yet. An attempt that names another endpoint incarnation, or
// whose record may have been evicted, is answered unknown.
auto WithdrawAttempt(AttemptTable& table, const AttemptPolicy& policy, const core::AttemptId& id,
                     core::Incarnation endpoint, core::Time now) -> AttemptStatus;

// Evicts records past their retention or beyond the bounds, raising the low-water marks so that no
// evicted attempt can be admitted. Attempts that are staged or running are never evicted.
auto EvictAttempts(AttemptTable& table, const AttemptPolicy& policy, core::Time now) -> void;

// Returns the record of an attempt, or null.
auto FindAttempt(const AttemptTable& table, const core::AttemptId& id) -> const Attempt*;

}  // namespace filbertstair::admission

namespace filbertstair::core {
template <>
inline constexpr NameTable<admission::AttemptState, 3> kNames<admission::AttemptState>{{
    {admission::AttemptState::staged, "staged"},
    {admission::AttemptState::running, "running"},
    {admission::AttemptState::ended, "ended"},
}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_ADMISSION_ATTEMPTS_H_
