#ifndef FILBERTSTAIR_DIRECT_RESTORED_H_
#define FILBERTSTAIR_DIRECT_RESTORED_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "filbertstair/core/types.h"
#include "filbertstair/direct/replicas.h"

// Which facts survive when the platform's store comes back from an older copy. Each such return
// begins a new era of the store, in which revisions are issued again, so that only era and revision
// together order what is known.
namespace filbertstair::direct {

// What an answer of the store says of its era, compared with the answers before.
enum class EraChange {
  // The era is the known one, or this is the first answer.
  none,
  risen,
  fallen,
  // The answer has an era that can't be read.
  unreadable
};

// Eras that the store's answers had.
struct EraState {
  // Era of the answers whose contents are in use; not set before the first readable one.
  std::optional<std::uint64_t> current;
  // Highest era seen. A rise is counted only beyond it.
  std::uint64_t highest = 0;
  // Whether the last answer had a readable era.
  bool readable = true;
};

struct EraStep {
  EraChange change = EraChange::none;
  // Number of restorations that were not known of before.
  std::uint64_t restorations = 0;
};

// Compares the era of an answer with the known one and adopts it. `era` is not set if the answer
// has one that can't be read. After any change except `none` the contents of the answer must not be
// used and a full read is due. An unreadable era after an unreadable one is no change.
auto ObserveEra(EraState& state, std::optional<std::uint64_t> era) -> EraStep;

// What a full read reflects: the current contents of the store, or contents that may include those
// of an older copy.
enum class ReadOrigin { current, copy };

struct RestoredPolicy {
  // Time for which a replica that is no longer listed is remembered. Copies are seconds old; the
  // rest is a margin for a store that is unavailable for minutes before it returns.
  core::Duration remember_gone = std::chrono::minutes(10);
  // Time for which an operator's key that is missing in the copy still holds. Operators write their
  // keys again within moments of a return.
  core::Duration key_grace = std::chrono::seconds(5);
};

// A replica that was seen gone, or that a copy lists in an earlier state than was seen.
struct WithdrawnReplica {
  // Latest start that was listed; 0 if none was specified.
  std::int64_t started_ms = 0;
  // Whether this start was leaving.
  bool leaving = false;
  // Whether a copy lists it, so that only an entry that is written anew counts.
  bool held = false;
  core::Time recorded_at{};
};

// Replicas that a copy must not bring back, by id.
using WithdrawnReplicas = std::map<std::string, WithdrawnReplica>;

// Records that the platform removed the replica. Call before it is delisted or its dispute is
// dropped.
auto RecordGone(WithdrawnReplicas& withdrawn, const ReplicaTable& table, const std::string& id,
                core::Time now) -> void;

// Records that the replica has written its entry, so that it is used again. A start that was
// leaving at a restoration stays unused; see RecordLeavingStarts.
auto RecordWritten(WithdrawnReplicas& withdrawn, const std::string& id) -> void;

// Records in `table.leaving` each start that was seen leaving: it is not used again, whatever the
// store lists after its restoration. A replica without a start is left out, since its next start
// could not be told from this one. Call at the full read of a copy, before its listings are judged.
auto RecordLeavingStarts(ReplicaTable& table, const WithdrawnReplicas& withdrawn, core::Time now)
    -> void;

// How a listing of a full read is treated.
enum class ListingUse {
  apply,
  // A later start is known: the replica counts as missing in the read.
  outdated,
  // It would bring back a replica that was seen leaving or gone: it is not applied until the
  // replica writes its entry anew.
  hold
};

auto JudgeListing(const ReplicaTable& table, const WithdrawnReplicas& withdrawn,
                  const Listing& listing, ReadOrigin origin) -> ListingUse;

// Holds back the listing until RecordWritten, also in later full reads. Returns whether it was not
// held before.
auto HoldListing(WithdrawnReplicas& withdrawn, const ReplicaTable& table, const Listing& listing,
                 core::Time now) -> bool;

// Forgets replicas that were withdrawn long ago and are not held.
auto ForgetWithdrawn(WithdrawnReplicas& withdrawn, const RestoredPolicy& policy, core::Time now)
    -> void;

// Operator's keys in force, with the time until which each holds; core::Time::max() for a key that
// the store has.
using HeldKeys = std::map<std::string, core::Time>;

// Returns the keys in force after a full read that found `listed`. A key that only a copy lacks
// holds for `policy.key_grace` from the first read that lacks it, as it is written again; one that
// the current contents lack is dropped at once, unless it still waits for being written again. A
// listed key holds until it is removed.
auto ReplaceKeys(const HeldKeys& known, const std::set<std::string>& listed, ReadOrigin origin,
                 const RestoredPolicy& policy, core::Time now) -> HeldKeys;

auto IsInForce(const HeldKeys& held, const std::string& key, core::Time now) -> bool;

}  // namespace filbertstair::direct

namespace filbertstair::core {
template <>
inline constexpr NameTable<direct::EraChange, 4> kNames<direct::EraChange>{
    {{direct::EraChange::none, "none"},
     {direct::EraChange::risen, "risen"},
     {direct::EraChange::fallen, "fallen"},
     {direct::EraChange::unreadable, "unreadable"}}};
template <>
inline constexpr NameTable<direct::ReadOrigin, 2> kNames<direct::ReadOrigin>{
    {{direct::ReadOrigin::current, "current"}, {direct::ReadOrigin::copy, "copy"}}};
template <>
inline constexpr NameTable<direct::ListingUse, 3> kNames<direct::ListingUse>{
    {{direct::ListingUse::apply, "apply"},
     {direct::ListingUse::outdated, "outdated"},
     {direct::ListingUse::hold, "hold"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_DIRECT_RESTORED_H_
