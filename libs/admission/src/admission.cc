#include "filbertstair/admission/admission.h"

#include <algorithm>

namespace filbertstair::admission {
namespace {

// Records the outcome for the attempt's idempotency key, if it carries one.
auto RecordAttemptKeyOutcome(AdmissionState& state, const core::AttemptId& attempt,
                             core::Outcome outcome) -> void {
  const auto key = state.attempt_keys.find(attempt);
  if (key == state.attempt_keys.end()) return;
  RecordKeyOutcome(state.keys, key->second, outcome);
  state.attempt_keys.erase(key);
}

auto RefusedDecision(const Refusal& refusal) -> Decision {
  return {.verdict = Verdict::refused, .refusal = refusal};
}

// Redeems the grant that the submission names, or checks for a free slot if it names none.
auto CheckCapacity(AdmissionState& state, const Submission& submission, core::Time now)
    -> std::optional<Refusal> {
  if (submission.grant != 0) {
    return RedeemGrant(state.grants, state.slots, state.demand,
                       {.id = submission.grant,
                        .granter = submission.endpoint,
                        .entry = submission.attempt.entry,
                        .entry_incarnation = submission.attempt.incarnation,
                        .service = submission.service,
                        .workspace = submission.workspace},
                       now);
  }
  if (CanAdmitWithoutGrant(state.slots, HasDemand(state.demand))) return std::nullopt;
  return Refusal{core::Reason::no_room, AttemptStatus::not_run};
}

auto CheckKey(AdmissionState& state, const AdmissionPolicy& policy, const Submission& submission,
              WallTime now) -> std::optional<Refusal> {
  if (!submission.key) return std::nullopt;
  static const OwnerHistory no_history;
  const auto owners = state.owner_histories.find(submission.service);
  auto refusal =
      AdmitKey(state.keys, owners == state.owner_histories.end() ? no_history : owners->second,
               policy.keys, submission.service, submission.workspace, *submission.key, now);
  if (!refusal) {
    state.attempt_keys[submission.attempt] =
        HashKey(ScopedKeyText(submission.service, submission.workspace, *submission.key));
  }
  return refusal;
}

}  // namespace

auto MakeAdmissionState(core::Incarnation incarnation, std::uint32_t limit, const ClockReading& now)
    -> AdmissionState {
  AdmissionState state;
  state.slots.limit = limit;
  state.grants.incarnation = incarnation;
  state.attempts.incarnation = incarnation;
  state.keys.started_at = now.wall;
  return state;
}

auto AdmitSubmission(AdmissionState& state, const AdmissionPolicy& policy,
                     const Submission& submission, const ClockReading& now) -> Decision {
  const auto& attempt = submission.attempt;
  auto refusal = AdmitAttempt(state.attempts, policy.attempts, attempt, submission.endpoint,
                              submission.deadline, now.steady);
  const auto capacity_refusal = refusal && submission.grant == 0
                                    ? std::nullopt
                                    : CheckCapacity(state, submission, now.steady);
  if (refusal) return RefusedDecision(*refusal);
  refusal = capacity_refusal ? capacity_refusal : CheckKey(state, policy, submission, now.wall);
  if (refusal) {
    // The attempt itself never runs, whatever the status of an earlier attempt with the same key.
    RefuseAttempt(state.attempts, attempt, *refusal, now.steady);
    return RefusedDecision(*refusal);
  }
  if (state.staged.empty() && CanStartAttempt(state.slots)) {
    StartAttempt(state.attempts, attempt);
    ++state.slots.running;
    return {.verdict = Verdict::run, .refusal = {}};
  }
  state.staged.push_back(attempt);
  ++state.slots.staged;
  return {.verdict = Verdict::staged, .refusal = {}};
}

auto StartStagedAttempts(AdmissionState& state, const ClockReading& now) -> StartResult {
  StartResult starts;
  while (!state.staged.empty() && CanStartAttempt(state.slots)) {
    const auto attempt = state.staged.front();
    state.staged.pop_front();
    --state.slots.staged;
    const auto* record = FindAttempt(state.attempts, attempt);
    if (record != nullptr && record->deadline <= now.steady) {
      RefuseAttempt(state.attempts, attempt,
                    {core::Reason::deadline_exceeded, AttemptStatus::not_run}, now.steady);
      RecordAttemptKeyOutcome(state, attempt, core::Outcome::not_run);
      starts.expired.push_back(attempt);
    } else if (StartAttempt(state.attempts, attempt)) {
      ++state.slots.running;
      starts.started.push_back(attempt);
    }
  }
  return starts;
}

auto FinishAttempt(AdmissionState& state, const AdmissionPolicy& policy,
                   const core::AttemptId& attempt, core::Outcome outcome, const ClockReading& now)
    -> bool {
  if (!EndAttempt(state.attempts, attempt, outcome, now.steady)) return false;
  --state.slots.running;
  RecordAttemptKeyOutcome(state, attempt, outcome);
  EvictAttempts(state.attempts, policy.attempts, now.steady);
  return true;
}

auto WithdrawSubmission(AdmissionState& state, const AdmissionPolicy& policy,
                        const core::AttemptId& attempt, core::Incarnation endpoint,
                        const ClockReading& now) -> AttemptStatus {
  const auto status =
      WithdrawAttempt(state.attempts, policy.attempts, attempt, endpoint, now.steady);
  if (status == AttemptStatus::not_run && std::erase(state.staged, attempt) > 0) {
    --state.slots.staged;
    RecordAttemptKeyOutcome(state, attempt, core::Outcome::not_run);
  }
  return status;
}

auto IssueNextGrant(AdmissionState& state, const DemandKey& key, std::uint32_t allowance,
                    core::Duration time_to_live, const ClockReading& now) -> std::optional<Grant> {
  if (state.attempts.draining || !CanIssueGrant(state.slots, allowance)) return std::nullopt;
  const auto entry = ChooseEntry(state.demand, key);
  if (!entry) return std::nullopt;
  return IssueGrant(state.grants, state.slots, state.demand, key, *entry,
                    now.steady + time_to_live);
}

auto RevokeAllGrants(AdmissionState& state) -> std::vector<Grant> {
  std::vector<Grant> ended;
  while (!state.grants.outstanding.empty()) {
    const auto& grant = state.grants.outstanding.begin()->second;
    const auto dropped = RevokeEntryGrants(state.grants, state.slots, state.demand,
                                           std::string(grant.entry), grant.entry_incarnation);
    ended.insert(ended.end(), dropped.begin(), dropped.end());
  }
  return ended;
}

auto DrainAdmission(AdmissionState& state) -> std::vector<Grant> {
  state.attempts.draining = true;
  return RevokeAllGrants(state);
}

auto ResumeAdmission(AdmissionState& state) -> void { state.attempts.draining = false; }

auto OpenEntryStream(AdmissionState& state, const std::string& entry, core::Incarnation incarnation,
                     std::uint64_t stream, const std::string& region)
    -> std::optional<std::vector<Grant>> {
  const auto known = state.demand.sources.find(entry);
  const auto previous =
      known == state.demand.sources.end() ? incarnation : known->second.incarnation;
  if (!OpenDemandSource(state.demand, entry, incarnation, stream, region)) return std::nullopt;
  return RevokeEntryGrants(state.grants, state.slots, state.demand, entry, previous);
}

auto CloseEntryStream(AdmissionState& state, const std::string& entry, std::uint64_t stream)
    -> std::vector<Grant> {
  const auto known = state.demand.sources.find(entry);
  if (known == state.demand.sources.end()) return {};
  const auto incarnation = known->second.incarnation;
  if (!CloseDemandSource(state.demand, entry, stream)) return {};
  return RevokeEntryGrants(state.grants, state.slots, state.demand, entry, incarnation);
}

auto ExpireGrantsAndRecords(AdmissionState& state, const AdmissionPolicy& policy,
                            const ClockReading& now) -> std::vector<Grant> {
  EvictAttempts(state.attempts, policy.attempts, now.steady);
  EvictKeys(state.keys, policy.keys, now.wall);
  return ExpireGrants(state.grants, state.slots, state.demand, now.steady);
}

}  // namespace filbertstair::admission
