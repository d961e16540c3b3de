#ifndef FILBERTSTAIR_ADMISSION_ADMISSION_H_
#define FILBERTSTAIR_ADMISSION_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "filbertstair/admission/attempts.h"
#include "filbertstair/admission/demand.h"
#include "filbertstair/admission/grants.h"
#include "filbertstair/admission/keys.h"
#include "filbertstair/admission/refusal.h"
#include "filbertstair/admission/slots.h"
#include "filbertstair/core/types.h"

namespace filbertstair::admission {

// Limits on the records that admission keeps of attempts and idempotency keys.
struct AdmissionPolicy {
  AttemptPolicy attempts;
  KeyPolicy keys;
};

// Simultaneous readings of the clocks of this process: `steady` of the monotonic clock in
// microseconds, `wall` of the system clock in milliseconds since the Unix epoch.
struct ClockReading {
  core::Time steady{};
  WallTime wall{};
};

// Complete admission state of one endpoint process. The functions below keep its parts consistent;
// the caller serializes access.
struct AdmissionState {
  Slots slots;
  GrantTable grants;
  DemandTable demand;
  AttemptTable attempts;
  KeyTable keys;
  // Endpoint sets observed for each service, by service name.
  std::map<std::string, OwnerHistory> owner_histories;
  // Staged attempts in order of arrival, which is also the order in which they start.
  std::deque<core::AttemptId> staged;
  // Key hashes of the staged and running attempts that carry an idempotency key.
  std::map<core::AttemptId, KeyHash> attempt_keys;
};

// Contents of a Submit message that admission depends on.
struct Submission {
  core::AttemptId attempt;
  // Incarnation of the endpoint process to which the entry addressed it.
  core::Incarnation endpoint = 0;
  // Grant that the submission redeems, or 0 for none.
  GrantId grant = 0;
  std::string service;
  std::string workspace;
  core::Time deadline{};
  std::optional<IdempotencyKey> key;
};

// Verdict on a submission: it runs now, waits for a slot, or is refused.
enum class Verdict { run, staged, refused };

// Answer to a submission.
struct Decision {
  Verdict verdict = Verdict::refused;
  // Set only if the verdict is `refused`.
  std::optional<Refusal> refusal;
};

// Result of StartStagedAttempts: attempts that now run, and staged attempts that were refused
// because their deadline had passed.
struct StartResult {
  std::vector<core::AttemptId> started;
  std::vector<core::AttemptId> expired;
};

// Returns the state of a process that has just started and has no records. `limit` is the initial
// number of slots.
auto MakeAdmissionState(core::Incarnation incarnation, std::uint32_t limit, const ClockReading& now)
    -> AdmissionState;

// Decides on a Submit message. `run` takes a slot at once; `staged` waits for StartStagedAttempts.
// A grant named by the submission ends with it, whatever the verdict. If the submission names a
// grant, its attempt's entry must be the grant's entry.
auto AdmitSubmission(AdmissionState& state, const AdmissionPolicy& policy,
                     const Submission& submission, const ClockReading& now) -> Decision;

// Starts staged attempts while slots are free. Call it after every FinishAttempt,
// WithdrawSubmission and change of the limit.
auto StartStagedAttempts(AdmissionState& state, const ClockReading& now) -> StartResult;

// Ends a running attempt and frees its slot. Returns false, and changes nothing, if the attempt is
// not running.
auto FinishAttempt(AdmissionState& state, const AdmissionPolicy& policy,
                   const core::AttemptId& attempt, core::Outcome outcome, const ClockReading& now)
    -> bool;

// Processes a Withdraw message and returns the status to answer it with. Removes the attempt from
// the queue if it is staged. `endpoint` is the endpoint incarnation that the message names.
auto WithdrawSubmission(AdmissionState& state, const AdmissionPolicy& policy,
                        const core::AttemptId& attempt, core::Incarnation endpoint,
                        const ClockReading& now) -> AttemptStatus;

// Issues a grant for requests with the given key, valid for `time_to_live`. `allowance` comes from
// GrantAllowance. Returns nothing if no grant may be issued or no entry has a waiting request.
auto IssueNextGrant(AdmissionState& state, const DemandKey& key, std::uint32_t allowance,
                    core::Duration time_to_live, const ClockReading& now) -> std::optional<Grant>;

// Revokes and returns all outstanding grants.
auto RevokeAllGrants(AdmissionState& state) -> std::vector<Grant>;

// Accepts submissions again after DrainAdmission.
auto ResumeAdmission(AdmissionState& state) -> void;

// Refuses all further submissions; staged and running attempts continue. Revokes and returns the
// outstanding grants.
auto DrainAdmission(AdmissionState& state) -> std::vector<Grant>;

// Records that an entry opened a control stream and discards the demand and grants of its previous
// stream, since grants sent on that stream may never have arrived. Returns the revoked grants, or
// nothing if a newer incarnation of the entry is known; the caller then closes the stream.
auto OpenEntryStream(AdmissionState& state, const std::string& entry, core::Incarnation incarnation,
                     std::uint64_t stream, const std::string& region)
    -> std::optional<std::vector<Grant>>;

// Discards the demand and the grants of an entry whose control stream ended, and returns the
// grants. Does nothing if the entry has since opened another stream.
auto CloseEntryStream(AdmissionState& state, const std::string& entry, std::uint64_t stream)
    -> std::vector<Grant>;

// Expires grants and evicts old records of attempts and keys. Call it a few times per second.
// Returns the expired grants.
auto ExpireGrantsAndRecords(AdmissionState& state, const AdmissionPolicy& policy,
                            const ClockReading& now) -> std::vector<Grant>;

}  // namespace filbertstair::admission

namespace filbertstair::core {
template <>
inline constexpr NameTable<admission::Verdict, 3> kNames<admission::Verdict>{{
    {admission::Verdict::run, "run"},
    {admission::Verdict::staged, "staged"},
    {admission::Verdict::refused, "refused"},
}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_ADMISSION_ADMISSION_H_
