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

// Result of offering an object. `older` means a lower version than the current one, `same` the
// current content, and `conflict_won` and `conflict_lost` another content with the current version
// that replaces it or not.
enum class Decision { accepted, older, same, invalid, conflict_won, conflict_lost };

// Result of the validator for the object's kind. The object is valid if there are no problems.
struct ValidationResult {
  std::vector<std::string> problems;
};

// Difference between two versions of one object's content, defined in config/delta.h.
struct Delta;

// Versions of one object that a process knows.
struct ObjectState {
  // The version in force; null until a valid version is known.
  ObjectPtr current;
  // The version before `current`, the base of deltas for peers that still have it. May be null.
  ObjectPtr previous;
  // Delta from `previous` to `current`, computed when first requested.
  std::shared_ptr<const Delta> delta;
  // Local time at which `current` was accepted.
  core::Time accepted_at{};
  // Versions newer than `current` that failed validation and must not be fetched again.
  std::set<Stamp> rejected;
};

// The published objects with their versions in force. Not synchronized; the lock that guards it has
// rank 10.
struct ConfigTable {
  std::map<ObjectKey, ObjectState> object_states;
};

// Maximum number of rejected versions stored per object. Beyond it the lowest are dropped and may
// be fetched again.
inline constexpr std::size_t kMaxRejected = 8;

// Result of OfferObject. `conflict_detected` tells whether the offered and the current object have
// the same version but different contents. It may be set repeatedly for the same pair.
struct OfferResult {
  Decision decision = Decision::older;
  bool conflict_detected = false;
};

// Puts `object` into force if it is valid and its stamp is greater than the current one. The
// version in force is thus the one with the greatest stamp among all valid offers, regardless of
// their order. An invalid object is recorded as rejected and does not replace the version in force.
auto OfferObject(ConfigTable& table, const ObjectPtr& object, const ValidationResult& validity,
                 core::Time now) -> OfferResult;

// Returns the version of the object in force, or null if there is none.
auto FindObject(const ConfigTable& table, const ObjectKey& key) -> ObjectPtr;

// Stamp of the version of one object in force.
struct DigestRow {
  ObjectKey key;
  Stamp stamp;

  auto operator==(const DigestRow&) const -> bool = default;
};

// Versions in force at a process. `summary` is a hash over all of its objects, by which equal
// tables are recognized without rows. `complete` tells whether `rows` lists all objects.
struct Digest {
  std::uint64_t summary = 0;
  bool complete = false;
  std::vector<DigestRow> rows;
};

// Rows of a digest: none in the periodic digest (`summary`), or all in the reply to a digest with a
// different summary. The announcement of a change has one row.
enum class DigestScope { summary, all };

// Returns the digest of the table with no rows or all rows.
auto MakeDigest(const ConfigTable& table, DigestScope scope) -> Digest;

// Returns the digest that announces a change: the summary and the row of one object.
auto MakeDigest(const ConfigTable& table, const ObjectKey& key) -> Digest;

// Differences between this process's table and a peer's digest.
struct DigestComparison {
  // Versions that this process should fetch from the peer.
  std::vector<DigestRow> to_request;
  // Versions that the peer lacks or has only in an older version. Only the rows are sent; the peer
  // then requests the contents it needs, since it may have rejected them or be fetching them from
  // another peer.
  std::vector<DigestRow> to_send;
  // Objects for which the two sides have different contents with the same version.
  std::vector<ObjectKey> conflicts;
  // Whether the summaries differ in a way that the digest's rows do not explain. The reply then has
  // all rows.
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
