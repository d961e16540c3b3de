#include "filbertstair/admission/attempts.h"

#include <algorithm>

namespace filbertstair::admission {
namespace {

using SourceKey = std::pair<std::string, core::Incarnation>;

// Returns whether a message is addressed to another incarnation of this process.
auto NamesOtherIncarnation(const AttemptTable& table, core::Incarnation endpoint) -> bool {
#ifdef FILBERTSTAIR_BROKEN_incarnation_check
  static_cast<void>(table);
  static_cast<void>(endpoint);
  return false;
#else
  return endpoint != table.incarnation;
#endif
}

// Returns whether a newer incarnation of the entry is known.
auto HasNewerIncarnation(const AttemptTable& table, const SourceKey& key) -> bool {
  const auto next = table.sources.upper_bound(key);
  return next != table.sources.end() && next->first.first == key.first;
}

auto FindRecord(AttemptTable& table, const core::AttemptId& id) -> Attempt* {
  const auto source = table.sources.find({id.entry, id.incarnation});
  if (source == table.sources.end()) return nullptr;
  const auto record = source->second.attempts.find(id.serial);
  return record == source->second.attempts.end() ? nullptr : &record->second;
}

// Returns whether an attempt without a record may have had one that was evicted.
auto MayHaveBeenEvicted(const AttemptTable& table, const core::AttemptId& id) -> bool {
  const SourceKey key{id.entry, id.incarnation};
  const auto source = table.sources.find(key);
  if (source != table.sources.end()) return id.serial < source->second.low_water;
  return id.incarnation < table.low_water || HasNewerIncarnation(table, key);
}

auto AddRecord(AttemptTable& table, const core::AttemptId& id, core::Time now) -> Attempt& {
  auto& source = table.sources[{id.entry, id.incarnation}];
  source.changed_at = now;
  return source.attempts[id.serial];
}

auto EndRecord(AttemptTable& table, const core::AttemptId& id, Attempt& attempt,
               AttemptStatus status, const std::optional<Refusal>& refusal, core::Time now)
    -> void {
  attempt.state = AttemptState::ended;
  attempt.status = status;
  attempt.refusal = refusal;
  table.ended.emplace_back(now, id);
}

// Records the refusal of an attempt that was never staged.
auto AddRefusal(AttemptTable& table, const AttemptPolicy& policy, const core::AttemptId& id,
                core::Reason reason, core::Time now) -> Refusal {
  const Refusal refusal{reason, AttemptStatus::not_run};
  EndRecord(table, id, AddRecord(table, id, now), AttemptStatus::not_run, refusal, now);
  EvictAttempts(table, policy, now);
  return refusal;
}

auto StatusOf(const Attempt& attempt) -> AttemptStatus {
  return attempt.state == AttemptState::ended ? attempt.status : AttemptStatus::running;
}

// Evicts one ended record.
auto EvictRecord(AttemptTable& table, const core::AttemptId& id) -> void {
  const auto source = table.sources.find({id.entry, id.incarnation});
  if (source == table.sources.end()) return;
  source->second.attempts.erase(id.serial);
  source->second.low_water = std::max(source->second.low_water, id.serial + 1);
  // Attempts of an older entry incarnation are refused without its source; see MayHaveBeenEvicted.
  if (source->second.attempts.empty() && HasNewerIncarnation(table, source->first)) {
    table.sources.erase(source);
  }
}

auto IsIdle(const AttemptSource& source) -> bool {
  return std::all_of(source.attempts.begin(), source.attempts.end(), [](const auto& attempt) {
    return attempt.second.state == AttemptState::ended;
  });
}

// Evicts the least recently used sources. Evicts a sixteenth more than necessary, since each call
// scans all sources.
auto EvictSources(AttemptTable& table, const AttemptPolicy& policy) -> void {
  std::vector<std::pair<core::Time, SourceKey>> idle;
  for (const auto& [key, source] : table.sources) {
    if (IsIdle(source)) idle.emplace_back(source.changed_at, key);
  }
  std::sort(idle.begin(), idle.end());
  const auto target_size = policy.max_sources - policy.max_sources / 16;
  for (const auto& [changed_at, key] : idle) {
    if (table.sources.size() <= target_size) break;
    table.sources.erase(key);
    table.low_water = std::max(table.low_water, key.second + 1);
  }
}

}  // namespace

auto AdmitAttempt(AttemptTable& table, const AttemptPolicy& policy, const core::AttemptId& id,
                  core::Incarnation endpoint, core::Time deadline, core::Time now)
    -> std::optional<Refusal> {
  if (NamesOtherIncarnation(table, endpoint)) {
    return Refusal{core::Reason::stale_incarnation, AttemptStatus::unknown};
  }
#ifndef FILBERTSTAIR_BROKEN_duplicate_check
  if (const auto* known = FindRecord(table, id); known != nullptr) {
    return known->refusal.value_or(Refusal{core::Reason::duplicate_attempt, StatusOf(*known)});
  }
#endif
  const auto superseded = HasNewerIncarnation(table, {id.entry, id.incarnation});
  if (MayHaveBeenEvicted(table, id)) {
    const auto source_evicted = superseded || !table.sources.contains({id.entry, id.incarnation});
    return Refusal{
        source_evicted ? core::Reason::stale_incarnation : core::Reason::duplicate_attempt,
        AttemptStatus::unknown};
  }
  if (superseded) return AddRefusal(table, policy, id, core::Reason::stale_incarnation, now);
  if (table.draining) return AddRefusal(table, policy, id, core::Reason::draining, now);
  if (deadline <= now) {
    return AddRefusal(table, policy, id, core::Reason::deadline_exceeded, now);
  }
  auto& attempt = AddRecord(table, id, now);
  attempt.state = AttemptState::staged;
  attempt.deadline = deadline;
  EvictAttempts(table, policy, now);
  return std::nullopt;
}

auto StartAttempt(AttemptTable& table, const core::AttemptId& id) -> bool {
  auto* attempt = FindRecord(table, id);
  if (attempt == nullptr || attempt->state != AttemptState::staged) return false;
  attempt->state = AttemptState::running;
  return true;
}

auto RefuseAttempt(AttemptTable& table, const core::AttemptId& id, const Refusal& refusal,
                   core::Time now) -> bool {
  auto* attempt = FindRecord(table, id);
  if (attempt == nullptr || attempt->state != AttemptState::staged) return false;
  EndRecord(table, id, *attempt, AttemptStatus::not_run, refusal, now);
  return true;
}

auto EndAttempt(AttemptTable& table, const core::AttemptId& id, core::Outcome outcome,
                core::Time now) -> bool {
  auto* attempt = FindRecord(table, id);
  if (attempt == nullptr || attempt->state != AttemptState::running) return false;
  switch (outcome) {
    case core::Outcome::not_run:
      EndRecord(table, id, *attempt, AttemptStatus::not_run,
                Refusal{core::Reason::engine_unreachable, AttemptStatus::not_run}, now);
      break;
    case core::Outcome::ran:
      EndRecord(table, id, *attempt, AttemptStatus::ran, std::nullopt, now);
      break;
    case core::Outcome::unknown:
      EndRecord(table, id, *attempt, AttemptStatus::unknown, std::nullopt, now);
      break;
  }
  return true;
}

auto WithdrawAttempt(AttemptTable& table, const AttemptPolicy& policy, const core::AttemptId& id,
                     core::Incarnation endpoint, core::Time now) -> AttemptStatus {
  if (NamesOtherIncarnation(table, endpoint)) return AttemptStatus::unknown;
  if (const auto* known = FindRecord(table, id); known != nullptr) {
    if (known->state != AttemptState::staged) return StatusOf(*known);
    RefuseAttempt(table, id, {core::Reason::withdrawn, AttemptStatus::not_run}, now);
    return AttemptStatus::not_run;
  }
  if (MayHaveBeenEvicted(table, id)) return AttemptStatus::unknown;
#ifndef FILBERTSTAIR_BROKEN_withdraw_record
  AddRefusal(table, policy, id, core::Reason::withdrawn, now);
#endif
  return AttemptStatus::not_run;
}

auto EvictAttempts(AttemptTable& table, const AttemptPolicy& policy, core::Time now) -> void {
  while (!table.ended.empty() && (table.ended.size() > policy.max_records ||
                                  now - table.ended.front().first >= policy.retention)) {
    EvictRecord(table, table.ended.front().second);
    table.ended.pop_front();
  }
  if (table.sources.size() > policy.max_sources) EvictSources(table, policy);
}

auto FindAttempt(const AttemptTable& table, const core::AttemptId& id) -> const Attempt* {
  const auto source = table.sources.find({id.entry, id.incarnation});
  if (source == table.sources.end()) return nullptr;
  const auto record = source->second.attempts.find(id.serial);
  return record == source->second.attempts.end() ? nullptr : &record->second;
}

}  // namespace filbertstair::admission
