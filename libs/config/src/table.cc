#include "filbertstair/config/table.h"

#include <xxhash.h>

#include <array>

namespace filbertstair::config {
namespace {

auto Reject(ObjectState& state, const Stamp& stamp) -> void {
  state.rejected.insert(stamp);
  while (state.rejected.size() > kMaxRejected) state.rejected.erase(state.rejected.begin());
}

auto RowHash(const ObjectKey& key, const Stamp& stamp) -> std::uint64_t {
  const std::array<std::uint64_t, 3> numbers{static_cast<std::uint64_t>(key.kind), stamp.version,
                                             stamp.hash};
  const auto seed = XXH64(key.name.data(), key.name.size(), 0);
  return XXH64(numbers.data(), sizeof(numbers), seed);
}

// Combines the row hashes by exclusive or, so that the effect of replacing one row can be computed
// without the other rows.
auto SummaryHash(const ConfigTable& table) -> std::uint64_t {
  std::uint64_t summary = 0;
  for (const auto& [key, state] : table.object_states) {
    if (state.current) summary ^= RowHash(key, state.current->stamp);
  }
  return summary;
}

}  // namespace

auto OfferObject(ConfigTable& table, const ObjectPtr& object, const ValidationResult& validity,
                 core::Time now) -> OfferResult {
  auto& state = table.object_states[object->key];
  const auto& stamp = object->stamp;
  const auto current = state.current ? state.current->stamp : Stamp{};
  if (state.current && stamp == current) return {.decision = Decision::same};
#ifndef FILBERTSTAIR_BROKEN_version_check
  if (state.current && stamp.version < current.version) return {.decision = Decision::older};
#endif
  const bool conflict = state.current && stamp.version == current.version;
  if (conflict && stamp.hash < current.hash) {
    return {.decision = Decision::conflict_lost, .conflict_detected = true};
  }
  if (!validity.problems.empty()) {
    Reject(state, stamp);
    return {.decision = Decision::invalid, .conflict_detected = conflict};
  }
  state.previous = state.current;
  state.current = object;
  state.delta = nullptr;
  state.accepted_at = now;
  state.rejected.erase(state.rejected.begin(), state.rejected.upper_bound(stamp));
  return {.decision = conflict ? Decision::conflict_won : Decision::accepted,
          .conflict_detected = conflict};
}

auto FindObject(const ConfigTable& table, const ObjectKey& key) -> ObjectPtr {
  const auto found = table.object_states.find(key);
  return found == table.object_states.end() ? nullptr : found->second.current;
}

auto MakeDigest(const ConfigTable& table, DigestScope scope) -> Digest {
  Digest digest{.summary = SummaryHash(table), .complete = scope == DigestScope::all, .rows = {}};
  if (scope == DigestScope::all) {
    for (const auto& [key, state] : table.object_states) {
      if (state.current) digest.rows.push_back({key, state.current->stamp});
    }
  }
  return digest;
}

auto MakeDigest(const ConfigTable& table, const ObjectKey& key) -> Digest {
  auto digest = MakeDigest(table, DigestScope::summary);
  if (const auto object = FindObject(table, key)) digest.rows.push_back({key, object->stamp});
  return digest;
}

auto CompareDigest(const ConfigTable& table, const Digest& digest) -> DigestComparison {
  DigestComparison result;
  // Own summary with the rows of the digest substituted. It equals the peer's summary if the tables
  // differ in no other rows.
  auto explained = SummaryHash(table);
  std::set<ObjectKey> seen;
  for (const auto& row : digest.rows) {
    if (!seen.insert(row.key).second) continue;
    explained ^= RowHash(row.key, row.stamp);
    const auto found = table.object_states.find(row.key);
    const auto* state = found == table.object_states.end() ? nullptr : &found->second;
    if (state != nullptr && state->current) {
      const auto& stamp = state->current->stamp;
      explained ^= RowHash(row.key, stamp);
      if (row.stamp < stamp) result.to_send.push_back({row.key, stamp});
      if (row.stamp.version == stamp.version && row.stamp.hash != stamp.hash) {
        result.conflicts.push_back(row.key);
      }
      if (row.stamp <= stamp) continue;
    }
    if (state == nullptr || !state->rejected.contains(row.stamp)) result.to_request.push_back(row);
  }
  if (digest.complete) {
    for (const auto& [key, state] : table.object_states) {
      if (state.current && !seen.contains(key)) {
        result.to_send.push_back({key, state.current->stamp});
      }
    }
  } else {
    result.needs_all_rows = explained != digest.summary;
  }
  return result;
}

}  // namespace filbertstair::config
