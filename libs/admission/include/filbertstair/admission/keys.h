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

// Time on the system clock of a process. The clocks of two processes are assumed to differ by at
// most KeyPolicy::max_skew.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// Parameters of the protection against a second execution.
struct KeyPolicy {
  // Time after its issue for which a key prevents a second execution.
  std::chrono::milliseconds lifetime = std::chrono::minutes(10);
  // Longest time for which two processes may use different endpoint sets without a risk that both
  // run the same key.
  std::chrono::milliseconds quiet_period = std::chrono::seconds(10);
  // Largest assumed difference between the system clocks of two endpoint processes, or between the
  // readings of one clock before and after a correction. The history window is extended by twice
  // this amount. An error of the caller's clock does not affect safety: both owners compare with
  // the same issue time.
  std::chrono::milliseconds max_skew = std::chrono::seconds(2);
  // Maximum number of key records, at about 150 bytes each.
  std::size_t max_keys = 200000;
};

// Idempotency key of a call of class `once`.
struct IdempotencyKey {
  std::string text;
  WallTime issued_at{};
};

// Parses an Idempotency-Key header and, if present, the value of Idempotency-Issued (milliseconds
// since 1970). Returns nothing if the key is empty or longer than 255 bytes, if it has no issue
// time (it is no UUIDv7 and there is no explicit one), if the explicit time is malformed, or if it
// differs from the time in the UUIDv7.
auto ParseIdempotencyKey(std::string_view key, std::optional<std::string_view> issued)
    -> std::optional<IdempotencyKey>;

// Returns the text whose hash selects the key's owner. It includes the service and workspace, so
// that equal keys of different services or workspaces stand for different calls.
auto ScopedKeyText(std::string_view service, std::string_view workspace, const IdempotencyKey& key)
    -> std::string;

// Endpoint sets of one service as observed by this process. A process owned a key under every set
// in a window if and only if it was a member throughout and ranks above every id that was a member
// at any time in the window (rendezvous hashing). The current set and the recently removed ids are
// therefore sufficient.
struct OwnerHistory {
  // Endpoint id of this process.
  std::string self;
  // Time at which the first set was observed; empty before that.
  std::optional<WallTime> observed_since;
  // Time at which this process last became a member; empty while it is not a member.
  std::optional<WallTime> member_since;
  // Current members, sorted.
  std::vector<std::string> member_ids;
  // Removed ids, with the time at which each was last a member.
  std::map<std::string, WallTime> removed;
};

// Records the set of live endpoints of the service that this process now uses.
auto ObserveEndpoints(OwnerHistory& history, const KeyPolicy& policy, std::vector<std::string> ids,
                      WallTime now) -> void;

// Restarts the history at `now`. Call it after this process was suspended or disconnected from its
// peers for the quiet period or longer: it may have missed changes of the endpoint set.
auto RestartHistory(OwnerHistory& history, WallTime now) -> void;

// 128-bit hash of a key with its service and workspace. A collision causes a refusal, never a
// second execution.
using KeyHash = std::pair<std::uint64_t, std::uint64_t>;

// Returns the hash of the text from ScopedKeyText.
auto HashKey(std::string_view scoped_key) -> KeyHash;

// Record of the first attempt that carried a key.
struct KeyRecord {
  WallTime issued_at{};
  // `running` until the attempt's outcome is recorded.
  AttemptStatus status = AttemptStatus::running;
};

// Idempotency keys recorded by this process.
struct KeyTable {
  // Start time of this process.
  WallTime started_at{};
  std::map<KeyHash, KeyRecord> keys;
  // Records by issue time, for eviction.
  std::set<std::pair<WallTime, KeyHash>> by_issue_time;
  // Keys issued before this time that have no record are refused: the record may have been evicted.
  WallTime low_water{};
};

// Decides whether a call with an idempotency key may run on this endpoint, and records the key if
// so. Refuses a key that was used before (key_repeated, with the status of its first attempt), a
// key issued further in the future than the clock skew allows (invalid_idempotency_key, not_run), a
// key owned by another endpoint (wrong_owner, not_run), and a key for which an earlier execution
// cannot be ruled out (key_history_lost, unknown).
auto AdmitKey(KeyTable& table, const OwnerHistory& history, const KeyPolicy& policy,
              std::string_view service, std::string_view workspace, const IdempotencyKey& key,
              WallTime now) -> std::optional<Refusal>;

// Records the outcome of the attempt that carried the key. After not_run the key can be used again.
auto RecordKeyOutcome(KeyTable& table, const KeyHash& hash, core::Outcome outcome) -> void;

// Evicts expired records and, while there are more than max_keys, those with the earliest issue
// time. Raises the low-water mark accordingly.
auto EvictKeys(KeyTable& table, const KeyPolicy& policy, WallTime now) -> void;

}  // namespace filbertstair::admission

#endif  // FILBERTSTAIR_ADMISSION_KEYS_H_
