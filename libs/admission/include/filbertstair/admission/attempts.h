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

// Limits on the records of attempts that have ended.
struct AttemptPolicy {
  // Time for which the record of an ended or refused attempt is retained.
  core::Duration retention = std::chrono::minutes(10);
  // Records of all entries together, at about 140 bytes each.
  std::size_t max_records = 32768;
  // Entry incarnations with records or a low-water mark, at about 200 bytes each.
  std::size_t max_sources = 4096;
};

// Stage of an attempt. Its outcome, once ended, is an AttemptStatus.
enum class AttemptState { staged, running, ended };

// Record of one attempt.
struct Attempt {
  AttemptState state = AttemptState::staged;
  // Valid in the state `ended`: not_run, ran or unknown.
  AttemptStatus status = AttemptStatus::unknown;
  // Answer to the Submit if it was refused; repeated for duplicates.
  std::optional<Refusal> refusal;
  core::Time deadline{};
};

// Attempts of one incarnation of an entry.
struct AttemptSource {
  // Serials below this mark that have no record are refused: their record may have been evicted.
  std::uint64_t low_water = 0;
  std::map<std::uint64_t, Attempt> attempts;
  // Time at which the source last got a record.
  core::Time changed_at{};
};

// Attempts known to this process, and the marks that stand for evicted records.
struct AttemptTable {
  // Incarnation of this process.
  core::Incarnation incarnation = 0;
  bool draining = false;
  // By entry id and entry incarnation.
  std::map<std::pair<std::string, core::Incarnation>, AttemptSource> sources;
  // Entry incarnations below this mark that have no source are refused: the source may have been
  // evicted.
  core::Incarnation low_water = 0;
  // Ended records in the order in which they ended, for eviction.
  std::deque<std::pair<core::Time, core::AttemptId>> ended;
};

// Decides on a submitted attempt and records the decision. `endpoint` is the endpoint incarnation
// that the Submit names. Refuses an attempt addressed to another incarnation (stale_incarnation,
// unknown) without recording it. Answers a duplicate with the first refusal if the attempt was
// withdrawn or refused, and otherwise with duplicate_attempt and its known status. Refuses an
// attempt whose record may have been evicted (duplicate_attempt or stale_incarnation, unknown).
// Refuses with not_run an attempt of a superseded entry incarnation, and one that arrives while
// draining or after its deadline. Otherwise records the attempt as staged and returns nothing; the
// caller then calls StartAttempt, or RefuseAttempt if a later check fails.
auto AdmitAttempt(AttemptTable& table, const AttemptPolicy& policy, const core::AttemptId& id,
                  core::Incarnation endpoint, core::Time deadline, core::Time now)
    -> std::optional<Refusal>;

// Marks a staged attempt as running. Returns false if it is not staged.
auto StartAttempt(AttemptTable& table, const core::AttemptId& id) -> bool;

// Ends a staged attempt as not run. `refusal` is the answer to its Submit; its status may describe
// an earlier attempt with the same key. Returns false if the attempt is not staged.
auto RefuseAttempt(AttemptTable& table, const core::AttemptId& id, const Refusal& refusal,
                   core::Time now) -> bool;

// Ends a running attempt. `outcome` is not_run only if no byte of the request reached the replica.
// Returns false if the attempt is not running.
auto EndAttempt(AttemptTable& table, const core::AttemptId& id, core::Outcome outcome,
                core::Time now) -> bool;

// Processes a Withdraw message and returns the status to answer it with. Records an attempt that
// has not started as refused and returns not_run, even if its Submit has not arrived yet. Returns
// unknown for an attempt that names another endpoint incarnation or whose record may have been
// evicted.
auto WithdrawAttempt(AttemptTable& table, const AttemptPolicy& policy, const core::AttemptId& id,
                     core::Incarnation endpoint, core::Time now) -> AttemptStatus;

// Evicts records that exceed their retention or the bounds, and raises the low-water marks so that
// no evicted attempt can be admitted again. Staged and running attempts are never evicted.
auto EvictAttempts(AttemptTable& table, const AttemptPolicy& policy, core::Time now) -> void;

// Returns the record of an attempt, or null if there is none.
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
