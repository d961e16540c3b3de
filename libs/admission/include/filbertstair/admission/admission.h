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

struct AdmissionPolicy {
  AttemptPolicy attempts;
  KeyPolicy keys;
};

// Readings of both clocks of this process.
struct ClockReading {
  core::Time steady{};
  WallTime wall{};
};

// Everything an endpoint process decides admission from.
struct AdmissionState {
  Slots slots;
  GrantTable grants;
  DemandTable demand;
  AttemptTable attempts;
  KeyTable keys;
  // By service.
  std::map<std::string, OwnerHistory> owner_histories;
  // Staged attempts in the order of their arrival, which is the order in which they start.
  std::deque<core::AttemptId> staged;
  // Keys of staged and running attempts.
  std::map<core::AttemptId, KeyHash> attempt_keys;
};

// A Submit message.
struct Submission {
  core::AttemptId attempt;
  // Incarnation of the endpoint process to which the entry addressed it.
  core::Incarnation endpoint = 0;
  // Grant redeemed by it, or 0.
  GrantId grant = 0;
  std::string service;
  std::string workspace;
  core::Time deadline{};
  std::optional<IdempotencyKey> key;
};

enum class Verdict { run, staged, refused };

struct Decision {
  Verdict verdict = Verdict::refused;
  // Set if refused.
  std::optional<Refusal> refusal;
};

// Attempts that start and staged ones that were dropped because their deadline passed.
struct StartResult {
  std::vector<core::AttemptId> started;
  std::vector<core::AttemptId> expired;
};

// Returns the state of a process that has just started with empty memory.
auto MakeAdmissionState(core::Incarnation incarnation, std::uint32_t limit, const ClockReading& now)
    -> AdmissionState;

// Decides on a Submit. `run` takes a slot at once; `staged` waits for StartStagedAttempts. Any
// grant that the Submit names ends with it, whatever the verdict. If the Submit names a grant, its
// attempt's entry must be the grant's.
auto AdmitSubmission(AdmissionState& state, const AdmissionPolicy& policy,
                     const Submission& submission, const ClockReading& now) -> Decision;

// StartResult staged attempts while slots are free. To be called after every Finish, Withdraw and
// change of the limit.
auto StartStagedAttempts(AdmissionState& state, const ClockReading& now) -> StartResult;

// Ends a running attempt and frees its slot. Returns false if it was not running.
auto FinishAttempt(AdmissionState& state, const AdmissionPolicy& policy,
                   const core::AttemptId& attempt, core::Outcome outcome, const ClockReading& now)
    -> bool;

// Answers a Withdraw. A staged attempt is removed.
auto WithdrawSubmission(AdmissionState& state, const AdmissionPolicy& policy,
                        const core::AttemptId& attempt, core::Incarnation endpoint,
                        const ClockReading& now) -> AttemptStatus;

// Issues a grant for the chosen candidate, or returns nothing if no grant may be issued or no entry
// waits.
auto IssueNextGrant(AdmissionState& state, const DemandKey& key, std::uint32_t allowance,
                    core::Duration time_to_live, const ClockReading& now) -> std::optional<Grant>;

// Refuses all further submissions. Staged and running attempts continue. Returns the outstanding
// grants, which end.
auto DrainAdmission(AdmissionState& state) -> std::vector<Grant>;

// Records that an entry opened a control stream. Demand and grants of its previous stream end,
// since grants sent on that one may never have arrived. Returns the ended grants, or nothing if the
// stream belongs to an incarnation older than the known one and is to be closed.
auto OpenEntryStream(AdmissionState& state, const std::string& entry, core::Incarnation incarnation,
                     std::uint64_t stream, const std::string& region)
    -> std::optional<std::vector<Grant>>;

// Drops the demand and the grants of an entry whose control stream ended, and returns the grants.
// Ignored if the entry has since opened another stream.
auto CloseEntryStream(AdmissionState& state, const std::string& entry, std::uint64_t stream)
    -> std::vector<Grant>;

// Expires grants and evicts old records. To be called a few times per second; returns the expired
// grants.
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
