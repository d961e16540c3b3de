#include "filbertstair/admission/keys.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "filbertstair/core/rendezvous.h"

namespace filbertstair::admission {
namespace {

constexpr std::size_t kMaxKeyLength = 255;
constexpr std::size_t kUuidLength = 36;
// 2^48 ms, the range of the timestamp in a UUIDv7. It also prevents overflow when durations are
// added.
constexpr std::uint64_t kMaxMilliseconds = std::uint64_t{1} << 48U;

template <typename Integer>
auto ParseInteger(std::string_view text, int base) -> std::optional<Integer> {
  Integer value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Returns the timestamp of a UUIDv7 (RFC 9562): its first 48 bits are milliseconds since 1970.
auto UuidTime(std::string_view text) -> std::optional<WallTime> {
  if (text.size() != kUuidLength) return std::nullopt;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto is_dash = i == 8 || i == 13 || i == 18 || i == 23;
    const auto is_hex = (text[i] >= '0' && text[i] <= '9') || (text[i] >= 'a' && text[i] <= 'f') ||
                        (text[i] >= 'A' && text[i] <= 'F');
    if (is_dash ? text[i] != '-' : !is_hex) return std::nullopt;
  }
  const auto is_variant = std::string_view("89abAB").find(text[19]) != std::string_view::npos;
  if (text[14] != '7' || !is_variant) return std::nullopt;
  const auto time = ParseInteger<std::uint64_t>(
      std::string(text.substr(0, 8)) + std::string(text.substr(9, 4)), 16);
  if (!time) return std::nullopt;
  return WallTime(std::chrono::milliseconds(*time));
}

// Returns the start of the window in which no other endpoint may have owned the key.
auto WindowStart(const KeyPolicy& policy, const IdempotencyKey& key) -> WallTime {
  return key.issued_at - policy.quiet_period - 2 * policy.max_skew;
}

auto Owns(std::string_view scoped_key, const std::string& self, std::span<const std::string> ids)
    -> bool {
  const auto owner = core::RendezvousOwner(scoped_key, ids);
  return owner < ids.size() && ids[owner] == self;
}

// Returns whether this process observed every endpoint set in force since the start of the window
// and owned the key under each of them.
auto OwnedThroughout(const KeyTable& table, const OwnerHistory& history, const KeyPolicy& policy,
                     std::string_view scoped_key, const IdempotencyKey& key) -> bool {
#ifdef FILBERTSTAIR_BROKEN_key_history
  static_cast<void>(table);
  static_cast<void>(history);
  static_cast<void>(policy);
  static_cast<void>(scoped_key);
  static_cast<void>(key);
  return true;
#else
  const auto start = WindowStart(policy, key);
  if (table.started_at > start || !history.observed_since || *history.observed_since > start) {
    return false;
  }
  if (!history.member_since || *history.member_since > start) return false;
  std::vector<std::string> possible_owners{history.self};
  for (const auto& [id, last] : history.removed) {
    if (last >= start) possible_owners.push_back(id);
  }
  return Owns(scoped_key, history.self, possible_owners);
#endif
}

auto EraseRecord(KeyTable& table, std::map<KeyHash, KeyRecord>::iterator record) -> void {
  table.by_issue_time.erase({record->second.issued_at, record->first});
  table.keys.erase(record);
}

}  // namespace

auto ParseIdempotencyKey(std::string_view key, std::optional<std::string_view> issued)
    -> std::optional<IdempotencyKey> {
  if (key.empty() || key.size() > kMaxKeyLength) return std::nullopt;
  const auto uuid_time = UuidTime(key);
  if (!issued) {
    if (!uuid_time) return std::nullopt;
    return IdempotencyKey{std::string(key), *uuid_time};
  }
  const auto milliseconds = ParseInteger<std::uint64_t>(*issued, 10);
  if (!milliseconds || *milliseconds >= kMaxMilliseconds) return std::nullopt;
  const WallTime time{std::chrono::milliseconds(*milliseconds)};
  if (uuid_time && *uuid_time != time) return std::nullopt;
  return IdempotencyKey{std::string(key), time};
}

auto ScopedKeyText(std::string_view service, std::string_view workspace, const IdempotencyKey& key)
    -> std::string {
  // The separator occurs in no name and distinguishes ("a", "bc") from ("ab", "c").
  std::string text(service);
  text += '\0';
  text += workspace;
  text += '\0';
  text += key.text;
  return text;
}

auto ObserveEndpoints(OwnerHistory& history, const KeyPolicy& policy, std::vector<std::string> ids,
                      WallTime now) -> void {
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  if (!history.observed_since) history.observed_since = now;
  for (const auto& id : history.member_ids) {
    if (!std::binary_search(ids.begin(), ids.end(), id)) history.removed[id] = now;
  }
  const auto is_member = std::binary_search(ids.begin(), ids.end(), history.self);
  if (!is_member) {
    history.member_since.reset();
  } else if (!history.member_since) {
    history.member_since = now;
  }
  history.member_ids = std::move(ids);
  // A key older than its lifetime is refused regardless of the history.
  const auto oldest = now - policy.lifetime - policy.quiet_period - 3 * policy.max_skew;
  std::erase_if(history.removed, [oldest](const auto& entry) { return entry.second < oldest; });
}

auto RestartHistory(OwnerHistory& history, WallTime now) -> void {
  if (history.observed_since) history.observed_since = now;
}

auto HashKey(std::string_view scoped_key) -> KeyHash {
  const auto hash = XXH3_128bits(scoped_key.data(), scoped_key.size());
  return {hash.high64, hash.low64};
}

auto AdmitKey(KeyTable& table, const OwnerHistory& history, const KeyPolicy& policy,
              std::string_view service, std::string_view workspace, const IdempotencyKey& key,
              WallTime now) -> std::optional<Refusal> {
  const auto scoped_key = ScopedKeyText(service, workspace, key);
  const auto hash = HashKey(scoped_key);
  if (const auto known = table.keys.find(hash); known != table.keys.end()) {
    return Refusal{core::Reason::key_repeated, known->second.status};
  }
  if (key.issued_at > now + policy.max_skew) {
    return Refusal{core::Reason::invalid_idempotency_key, AttemptStatus::not_run};
  }
  if (!Owns(scoped_key, history.self, history.member_ids)) {
    return Refusal{core::Reason::wrong_owner, AttemptStatus::not_run};
  }
  if (now >= key.issued_at + policy.lifetime || key.issued_at < table.low_water ||
      !OwnedThroughout(table, history, policy, scoped_key, key)) {
    return Refusal{core::Reason::key_history_lost, AttemptStatus::unknown};
  }
  table.keys[hash] = {.issued_at = key.issued_at, .status = AttemptStatus::running};
  table.by_issue_time.emplace(key.issued_at, hash);
  return std::nullopt;
}

auto RecordKeyOutcome(KeyTable& table, const KeyHash& hash, core::Outcome outcome) -> void {
  const auto record = table.keys.find(hash);
  if (record == table.keys.end()) return;
  switch (outcome) {
    case core::Outcome::not_run:
      EraseRecord(table, record);
      break;
    case core::Outcome::ran:
      record->second.status = AttemptStatus::ran;
      break;
    case core::Outcome::unknown:
      record->second.status = AttemptStatus::unknown;
      break;
  }
}

auto EvictKeys(KeyTable& table, const KeyPolicy& policy, WallTime now) -> void {
  // The margin allows for a backward correction of the system clock.
  const auto oldest = now - policy.lifetime - policy.max_skew;
  while (!table.by_issue_time.empty()) {
    const auto [issued, hash] = *table.by_issue_time.begin();
    if (issued >= oldest && table.keys.size() <= policy.max_keys) break;
    table.low_water = std::max(table.low_water, issued + std::chrono::milliseconds(1));
    table.by_issue_time.erase(table.by_issue_time.begin());
    table.keys.erase(hash);
  }
}

}  // namespace filbertstair::admission
