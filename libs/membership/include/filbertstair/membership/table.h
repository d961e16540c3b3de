#ifndef FILBERTSTAIR_MEMBERSHIP_TABLE_H_
#define FILBERTSTAIR_MEMBERSHIP_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "filbertstair/core/names.h"
#include "filbertstair/core/types.h"
#include "filbertstair/membership/vm.h"

namespace filbertstair::membership {

// State of a member as this process sees it.
//  live: may be selected.
//  leaving: gets no new work; requests in progress continue.
//  suspected: silent; selected for new work only if no live member is available.
//  gone: not in the VM list.
enum class MemberState { live, leaving, suspected, gone };

// State of the connection between this process and a peer.
struct PeerLink {
  bool connected = false;
  // Time of the latest message or, before any message, of the first failed attempt to connect.
  std::optional<core::Time> silent_since;
  // Highest incarnation received from the peer, and whether that incarnation reported that it is
  // draining.
  core::Incarnation incarnation = 0;
  bool draining = false;
  bool suspected = false;
};

// A process of the fleet.
struct Member {
  // Row in the newest VM list; unset if it is not listed.
  std::optional<Vm> row;
  PeerLink link;
  // State that the latest StateChange of this member reported.
  MemberState reported_state = MemberState::gone;
};

// Time limits of failure detection.
struct MemberRules {
  // Silence after which a connected peer is suspected: three missed digests.
  core::Duration suspect_after = std::chrono::seconds(3);
  // Silence after which a peer is suspected whose connection was lost or could not be opened.
  core::Duration suspect_after_down = std::chrono::seconds(1);
  // A longer interval between two evaluations means that this process itself was paused. The
  // silence of its peers is then measured from the end of the pause.
  core::Duration max_pause = std::chrono::milliseconds(1500);
  // Time for which the incarnation of an unlisted, disconnected peer is stored, so that messages of
  // a process that was frozen for less are still recognized as stale when its id is listed again.
  core::Duration forget_after = std::chrono::hours(1);
};

// Members with their listing, connection, suspicion and drain state. The caller locks it; the lock
// has rank 20.
struct MemberTable {
  MemberRules rules;
  // Revision of the newest VM list; 0 before the first.
  std::uint64_t revision = 0;
  std::map<std::string, Member> members;
  // Pools named by the configuration documents in force; unset before the first document.
  std::optional<std::set<std::string>> pools;
  // Time of the latest EvaluateSuspicion.
  std::optional<core::Time> evaluated_at;
};

// Change of a member's state since its previous StateChange, whichever event caused it.
struct StateChange {
  std::string id;
  MemberState before = MemberState::gone;
  MemberState after = MemberState::gone;

  auto operator==(const StateChange&) const -> bool = default;
};

// Replaces the rows with those of a newer VM list. A list with the same or a lower revision is
// ignored. Returns the resulting changes.
auto ApplyVmList(MemberTable& table, const VmList& list) -> std::vector<StateChange>;

// Replaces the set of pools named by the configuration documents in force. An endpoint whose pool
// is not among them is leaving. Returns the resulting changes.
auto SetPools(MemberTable& table, std::set<std::string> pools) -> std::vector<StateChange>;

// Whether a message came from the newest known incarnation of its sender.
enum class Freshness { current, stale };

// Records a message that `peer` sent as `incarnation`, and whether it reported that it is draining.
// Draining is permanent for an incarnation. Messages from older incarnations are stale and ignored.
auto RecordMessage(MemberTable& table, const std::string& peer, core::Incarnation incarnation,
                   bool draining, core::Time now) -> Freshness;

// Records that the connection to `incarnation` of `peer` was lost, or with incarnation 0 that an
// attempt to connect failed. Ignored if a newer incarnation is known or, with 0, connected.
auto RecordLinkDown(MemberTable& table, const std::string& peer, core::Incarnation incarnation,
                    core::Time now) -> void;

// Updates the suspicion of members from their silence, and removes unlisted members after
// MemberRules::forget_after. Returns the changes, including those from RecordMessage and
// RecordLinkDown. Call several times per MemberRules::suspect_after_down.
auto EvaluateSuspicion(MemberTable& table, core::Time now) -> std::vector<StateChange>;

// Returns the state of a member. Before the first VM list, a peer that sent a message counts as
// listed.
auto StateOf(const MemberTable& table, const std::string& id) -> MemberState;

// Returns whether the listed process `self` must drain: its row is leaving, or it is an endpoint
// process and no document names its pool. False if it is not listed. A drain that has begun lasts
// for the rest of the incarnation, but the result may be false again after a later list says live.
auto MustDrain(const MemberTable& table, const std::string& self) -> bool;

// Returns the ids, in ascending order, of the listed members with `role` that are live or
// suspected, only those in `region` unless it is empty.
auto ListMembers(const MemberTable& table, core::Role role, const std::string& region = "")
    -> std::vector<std::string>;

}  // namespace filbertstair::membership

namespace filbertstair::core {
template <>
inline constexpr NameTable<membership::MemberState, 4> kNames<membership::MemberState>{
    {{membership::MemberState::live, "live"},
     {membership::MemberState::leaving, "leaving"},
     {membership::MemberState::suspected, "suspected"},
     {membership::MemberState::gone, "gone"}}};
template <>
inline constexpr NameTable<membership::Freshness, 2> kNames<membership::Freshness>{
    {{membership::Freshness::current, "current"}, {membership::Freshness::stale, "stale"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_MEMBERSHIP_TABLE_H_
