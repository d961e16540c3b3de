#include "filbertstair/config/table.h"

#include <xxhash.h>

#include <array>

namespace filbertstair::config {
namespace {

auto Reject(Slot& slot, const Stamp& stamp) -> void {
  slot.rejected.insert(stamp);
  while (slot.rejected.size() > kMaxRejected) slot.rejected.erase(slot.rejected.begin());
}

auto RowHash(const ObjectKey& key, const Stamp& stamp) -> std::uint64_t {
  const std::array<std::uint64_t, 3> numbers{static_cast<std::uint64_t>(key.kind), stamp.version,
                                             stamp.hash};
  const auto seed = XXH64(key.name.data(), key.name.size(), 0);
  return XXH64(numbers.data(), sizeof(numbers), seed);
}

// The rows are combined by exclusive or, so that the effect of replacing one row is known without
// the others.
auto Summary(const ConfigTable& table) -> std::uint64_t {
  std::uint64_t summary = 0;
  for (const auto& [key, slot] : table.slots) {
    if (slot.current) summary ^= RowHash(key, slot.current->stamp);
  }
  return summary;
}

}  // namespace

auto Offer(ConfigTable& table, const ObjectPtr& object, const Validity& validity, core::Time now)
    -> Offered {
  auto& slot = table.slots[object->key];
  const auto& stamp = object->stamp;
  const auto current = slot.current ? slot.current->stamp : Stamp{};
  if (slot.current && stamp == current) return {.decision = Decision::same};
#ifndef FILBERTSTAIR_BROKEN_version_check
  if (slot.current && stamp.version < current.version) return {.decision = Decision::older};
#endif
  const bool conflict = slot.current && stamp.version == current.version;
  if (conflict && stamp.hash < current.hash) {
    return {.decision = Decision::conflict_lost, .alarm = true};
  }
  if (!validity.problems.empty()) {
    Reject(slot, stamp);
    return {.decision = Decision::invalid, .alarm = conflict};
  }
  slot.previous = slot.current;
  slot.current = object;
  slot.delta = nullptr;
  slot.learned = now;
  slot.rejected.erase(slot.rejected.begin(), slot.rejected.upper_bound(stamp));
  return {.decision = conflict ? Decision::conflict_won : Decision::accepted, .alarm = conflict};
}

auto Find(const ConfigTable& table, const ObjectKey& key) -> ObjectPtr {
  const auto found = table.slots.find(key);
  return found == table.slots.end() ? nullptr : found->second.current;
}

auto MakeDigest(const ConfigTable& table, DigestScope scope) -> Digest {
  Digest digest{.summary = Summary(table), .complete = scope == DigestScope::all, .rows = {}};
  if (scope == DigestScope::all) {
    for (const auto& [key, slot] : table.slots) {
      if (slot.current) digest.rows.push_back({key, slot.current->stamp});
    }
  }
  return digest;
}

auto MakeDigest(const ConfigTable& table, const ObjectKey& key) -> Digest {
  auto digest = MakeDigest(table, DigestScope::summary);
  if (const auto object = Find(table, key)) digest.rows.push_back({key, object->stamp});
  return digest;
}

auto Compare(const ConfigTable& table, const Digest& digest) -> Comparison {
  Comparison result;
  // Own summary after replacing the digest's rows; equal to the peer's if these are all that
  // differ.
  auto explained = Summary(table);
  std::set<ObjectKey> seen;
  for (const auto& row : digest.rows) {
    if (!seen.insert(row.key).second) continue;
    explained ^= RowHash(row.key, row.stamp);
    const auto found = table.slots.find(row.key);
    const auto* slot = found == table.slots.end() ? nullptr : &found->second;
    if (slot != nullptr && slot->current) {
      const auto& stamp = slot->current->stamp;
      explained ^= RowHash(row.key, stamp);
      if (row.stamp < stamp) result.to_send.push_back({row.key, stamp});
      if (row.stamp.version == stamp.version && row.stamp.hash != stamp.hash) {
        result.conflicts.push_back(row.key);
      }
      if (row.stamp <= stamp) continue;
    }
    if (slot == nullptr || !slot->rejected.contains(row.stamp)) result.to_request.push_back(row);
  }
  if (digest.complete) {
    for (const auto& [key, slot] : table.slots) {
      if (slot.current && !seen.contains(key)) {
        result.to_send.push_back({key, slot.current->stamp});
      }
    }
  } else {
    result.rows_wanted = explained != digest.summary;
  }
  return result;
}

}  // namespace filbertstair::config
