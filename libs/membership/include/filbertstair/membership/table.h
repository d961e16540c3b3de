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
//  suspected: silent; new work goes elsewhere as long as there is another place.
//  gone: not in the VM list.
enum class MemberState { live, leaving, suspected, gone };

// What this process knows of its link with a peer.
struct PeerLink {
  bool connected = false;
  // Start of the current silence: the latest message, or the first failed attempt to connect.
  std::optional<core::Time> silent_since;
  // Highest incarnation heard, and whether that incarnation announced that it drains.
  core::Incarnation incarnation = 0;
  bool draining = false;
  bool suspected = false;
};

struct Member {
  // Row in the newest VM list; nothing if the list has none.
  std::optional<Vm> row;
  PeerLink link;
  // State that the changes returned last ended with.
  MemberState reported_state = MemberState::gone;
};

struct MemberRules {
  // Silence after which a connected peer is suspected: three missed digests.
  core::Duration suspect_after = std::chrono::seconds(3);
  // Silence after which a peer whose connection broke or cannot be opened is suspected.
  core::Duration suspect_after_down = std::chrono::seconds(1);
  // A longer gap between two evaluations means that this process itself was paused. The silence of
  // its peers is then counted from the end of the pause.
  core::Duration max_pause = std::chrono::milliseconds(1500);
  // Time for which the incarnation of an unlisted, unconnected peer is kept, so that a process that
  // was frozen for less is still recognised as old when its id is listed again.
  core::Duration forget_after = std::chrono::hours(1);
};

// VM list, links, suspicion and drain state. Plain data; its lock has rank 20.
struct MemberTable {
  MemberRules rules;
  // Revision of the newest VM list; 0 before the first.
  std::uint64_t revision = 0;
  std::map<std::string, Member> members;
  // Pools named by the documents in force; nothing before the first document.
  std::optional<std::set<std::string>> pools;
  std::optional<core::Time> evaluated_at;
};

// Member whose state differs from the one reported before, whatever event changed it.
struct StateChange {
  std::string id;
  MemberState before = MemberState::gone;
  MemberState after = MemberState::gone;

  auto operator==(const StateChange&) const -> bool = default;
};

// Replaces the rows by a newer VM list. A list with the same or a lower revision changes nothing.
auto ApplyVmList(MemberTable& table, const VmList& list) -> std::vector<StateChange>;

// Replaces the pools named by the documents in force. An endpoint whose pool is in none is leaving.
auto SetPools(MemberTable& table, std::set<std::string> pools) -> std::vector<StateChange>;

// Whether a message came from the newest known incarnation of its sender.
enum class Freshness { current, stale };

// Notes a message from `peer`. A message from an older incarnation changes nothing; one that says
// draining stays in force for its incarnation.
auto RecordMessage(MemberTable& table, const std::string& peer, core::Incarnation incarnation,
                   bool draining, core::Time now) -> Freshness;

// Notes that the connection with `incarnation` of `peer` broke, or with 0 that an attempt to
// connect failed.
auto RecordLinkDown(MemberTable& table, const std::string& peer, core::Incarnation incarnation,
                    core::Time now) -> void;

// Updates suspicion from silence and forgets unlisted members after forget_after. Returns all
// changes since the last ones, also those from RecordMessage. Call several times per
// suspect_after_down.
auto EvaluateSuspicion(MemberTable& table, core::Time now) -> std::vector<StateChange>;

// State of a member. Without any VM list, a peer that was heard counts as listed.
auto StateOf(const MemberTable& table, const std::string& id) -> MemberState;

// Whether this process must drain: its row is leaving or missing, or its pool is in no document.
// The caller drains for the rest of its incarnation, also if a later list says live.
auto MustDrain(const MemberTable& table, const std::string& self) -> bool;

// Ids of the members with `role` in state live or suspected, in order, optionally of one region.
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
