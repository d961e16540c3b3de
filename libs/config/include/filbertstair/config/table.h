#ifndef FILBERTSTAIR_CONFIG_TABLE_H_
#define FILBERTSTAIR_CONFIG_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "filbertstair/config/object.h"
#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"

namespace filbertstair::config {

// What became of an offered object.
enum class Decision { accepted, older, same, invalid, conflict_won, conflict_lost };

// What the validator of the object's kind found. An empty list of problems means valid.
struct ValidationResult {
  std::vector<std::string> problems;
};

struct Delta;

// What a process knows of one object.
struct ObjectState {
  // The version in force; null as long as no valid version is known.
  ObjectPtr current;
  // The version before, from which differences for peers one version behind are made. May be null.
  ObjectPtr previous;
  // Difference between the two, made at the first request for it.
  std::shared_ptr<const Delta> delta;
  // When `current` was accepted, on this process's clock.
  core::Time accepted_at{};
  // Versions above `current` that failed validation and must not be fetched again.
  std::set<Stamp> rejected;
};

// The published objects and the versions in force. Plain data; its lock has rank 10.
struct ConfigTable {
  std::map<ObjectKey, ObjectState> object_states;
};

// Rejected versions kept per object. Beyond it the lowest are dropped and may be fetched again.
inline constexpr std::size_t kMaxRejected = 8;

// Result of OfferObject. `alarm` tells that two contents with one version have been seen; it may
// repeat for the same pair.
struct OfferResult {
  Decision decision = Decision::older;
  bool conflict_detected = false;
};

// Brings `object` into force if it is valid and its stamp is above the one in force. The version in
// force is the greatest stamp over all valid offers, whatever their order. An invalid object leaves
// the version in force and is remembered as rejected.
auto OfferObject(ConfigTable& table, const ObjectPtr& object, const ValidationResult& validity,
                 core::Time now) -> OfferResult;

// Returns the object in force, or null.
auto FindObject(const ConfigTable& table, const ObjectKey& key) -> ObjectPtr;

struct DigestRow {
  ObjectKey key;
  Stamp stamp;

  auto operator==(const DigestRow&) const -> bool = default;
};

// Versions in force at a process. `summary` covers all of its objects, so that two equal tables are
// recognised without rows. `complete` tells that `rows` lists all objects.
struct Digest {
  std::uint64_t summary = 0;
  bool complete = false;
  std::vector<DigestRow> rows;
};

// Which rows a digest carries: none for the periodic message, one for the news of a change, all in
// reply to a digest whose summary differs.
enum class DigestScope { summary, all };

auto MakeDigest(const ConfigTable& table, DigestScope scope) -> Digest;

// Digest with the summary and the row of one object, which announces a change.
auto MakeDigest(const ConfigTable& table, const ObjectKey& key) -> Digest;

struct DigestComparison {
  // What the peer has and this process should fetch from it.
  std::vector<DigestRow> to_request;
  // What the peer lacks or has in an older version. The rows are sent, and the peer requests the
  // contents it wants: it may have rejected them or be fetching them from another peer already.
  std::vector<DigestRow> to_send;
  // Objects of which both sides hold different contents with one version: an alarm.
  std::vector<ObjectKey> conflicts;
  // The summaries differ, and the digest has not enough rows to tell why: reply with all rows.
  bool needs_all_rows = false;
};

// Compares this process's table with a peer's digest.
auto CompareDigest(const ConfigTable& table, const Digest& digest) -> DigestComparison;

}  // namespace filbertstair::config

namespace filbertstair::core {
template <>
inline constexpr NameTable<config::Decision, 6> kNames<config::Decision>{
    {{config::Decision::accepted, "accepted"},
     {config::Decision::older, "older"},
     {config::Decision::same, "same"},
     {config::Decision::invalid, "invalid"},
     {config::Decision::conflict_won, "conflict_won"},
     {config::Decision::conflict_lost, "conflict_lost"}}};
template <>
inline constexpr NameTable<config::DigestScope, 2> kNames<config::DigestScope>{
    {{config::DigestScope::summary, "summary"}, {config::DigestScope::all, "all"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_CONFIG_TABLE_H_
