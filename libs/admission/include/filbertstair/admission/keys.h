#ifndef FILBERTSTAIR_ADMISSION_KEYS_H_
#define FILBERTSTAIR_ADMISSION_KEYS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertstair/admission/refusal.h"
#include "filbertstair/core/types.h"

namespace filbertstair::admission {

// Time on a process's wall clock, comparable between processes within KeyPolicy::max_skew.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

struct KeyPolicy {
  // Time from its issue for which a key prevents a second run.
  std::chrono::milliseconds lifetime = std::chrono::minutes(10);
  // Longest time for which two processes may hold different endpoint sets without a risk that both
  // run one key.
  std::chrono::milliseconds quiet_period = std::chrono::seconds(10);
  // Largest assumed difference between the wall clocks of two endpoint processes, or between one
  // wall clock before and after a correction. The window of history is extended by twice this
  // amount. An error of the caller's clock does not affect safety: both owners compare with the
  // same issue time.
  std::chrono::milliseconds max_skew = std::chrono::seconds(2);
  // Records, at about 150 bytes each.
  std::size_t max_keys = 200000;
};

// Idempotency key of a call of class once.
struct IdempotencyKey {
  std::string text;
  WallTime issued_at{};
};

// Parses an Idempotency-Key with the value of Idempotency-Issued (milliseconds since 1970), if
// present. Returns nothing if the key is empty or longer than 255 bytes, if it has no time of issue
// (neither a UUIDv7 nor an explicit one), if the explicit time is malformed, or if it contradicts
// the UUIDv7.
auto ParseIdempotencyKey(std::string_view key, std::optional<std::string_view> issued)
    -> std::optional<IdempotencyKey>;

// Returns the text that is hashed to find the key's owner. Keys of different workspaces and
// services are different calls.
auto ScopedKeyText(std::string_view service, std::string_view workspace, const IdempotencyKey& key)
    -> std::string;

// Endpoint sets of one service as this process observed them. Owning a key under every set in a
// window equals being a member throughout and outranking every id that was a member at any time in
// the window, so the current set and the recently removed ids are sufficient.
struct OwnerHistory {
  std::string self;
  // When the first set was observed, or nothing before that.
  std::optional<WallTime> observed_since;
  // When this process last became a member, or nothing while it is none.
  std::optional<WallTime> member_since;
  // Current members, sorted.
  std::vector<std::string> member_ids;
  // Ids removed, with the time at which each was last a member.
  std::map<std::string, WallTime> removed;
};

// Records the set of endpoints of the service that is now in force here.
auto ObserveEndpoints(OwnerHistory& history, const KeyPolicy& policy, std::vector<std::string> ids,
                      WallTime now) -> void;

// Makes the history begin now. To be called after this process was paused or cut off from its peers
// for the quiet period or longer: sets may have been in force that it did not observe.
auto RestartHistory(OwnerHistory& history, WallTime now) -> void;

// Hash of a key with its service and workspace. A collision causes a refusal, never a second run.
using KeyHash = std::pair<std::uint64_t, std::uint64_t>;
auto HashKey(std::string_view scoped_key) -> KeyHash;

// First attempt with a key.
struct KeyRecord {
  WallTime issued_at{};
  // running until its end is recorded.
  AttemptStatus status = AttemptStatus::running;
};

struct KeyTable {
  // Start of this process.
  WallTime started_at{};
  std::map<KeyHash, KeyRecord> keys;
  // Order of the records by time of issue, for eviction.
  std::set<std::pair<WallTime, KeyHash>> by_issue_time;
  // Keys issued before it without a record are refused: the record may have been evicted.
  WallTime low_water{};
};

// Decides whether a call with a key may run here, and records the key if so. Refuses a key that was
// seen (key_repeated, with the status of its first attempt), one that was issued later than the
// clock allows (invalid_idempotency_key, not_run), one that belongs to another endpoint
// (wrong_owner, not_run), and one whose earlier run this process cannot exclude (key_history_lost,
// unknown).
auto AdmitKey(KeyTable& table, const OwnerHistory& history, const KeyPolicy& policy,
              std::string_view service, std::string_view workspace, const IdempotencyKey& key,
              WallTime now) -> std::optional<Refusal>;

// Records how the attempt that carried the key ended. With not_run the key may be used again.
auto RecordKeyOutcome(KeyTable& table, const KeyHash& hash, core::Outcome outcome) -> void;

// Evicts expired records and, beyond max_keys, those issued first, raising the low-water mark.
auto EvictKeys(KeyTable& table, const KeyPolicy& policy, WallTime now) -> void;

}  // namespace filbertstair::admission

#endif  // FILBERTSTAIR_ADMISSION_KEYS_H_
