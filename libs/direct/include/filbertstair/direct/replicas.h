#ifndef FILBERTSTAIR_DIRECT_REPLICAS_H_
#define FILBERTSTAIR_DIRECT_REPLICAS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "filbertstair/core/types.h"
#include "filbertstair/direct/kept.h"

namespace filbertstair::direct {

enum class ReplicaState { ready, leaving };

// What the platform publishes about one replica.
struct Listing {
  std::string id;
  std::string service;
  std::string address;
  std::string failure_domain;
  // Requests that it runs at once.
  std::uint32_t slots = 1;
  ReplicaState state = ReplicaState::ready;
  // Start of the replica in milliseconds since 1970; 0 if not stated. A new start under an old id
  // has empty memory.
  std::int64_t started_ms = 0;

  auto operator==(const Listing&) const -> bool = default;
};

// A replica's own word on its load, sent with an answer.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

struct Replica {
  Listing listing;
  // Requests of this entry that are at the replica, and the prompt tokens among them that it is
  // believed to have to read before their first events.
  std::uint32_t in_flight = 0;
  std::uint64_t prefill_tokens = 0;
  // Requests of other entries, from the replica's last report.
  std::uint32_t remote_in_flight = 0;
  core::Time reported_at{};
  // Failures without a success between them, and the end of the time for which the replica gets no
  // requests because of them.
  std::uint32_t failures = 0;
  core::Time ejected_until{};
  PrefixCache prefix_cache;
  // Set if the platform no longer lists the replica; from then on it gets no requests.
  bool removed = false;
  // End of the time for which a delisted replica is still used, because the platform's list was
  // away and forgot live replicas. Zero if it is not delisted.
  core::Time delisted_until{};
};

// What other entries have at a replica.
struct ReplicaLoad {
  std::uint32_t in_flight = 0;
  std::uint64_t prefill_tokens = 0;

  auto operator==(const ReplicaLoad&) const -> bool = default;
};

struct ReplicaTable {
  // By service and id.
  std::map<std::string, std::map<std::string, Replica>, std::less<>> services;
  // Service by id of each listed replica.
  std::map<std::string, std::string> service_of;
  // What each linked entry has at each replica, and the sums over those entries.
  std::map<std::string, std::map<std::string, ReplicaLoad>> peers;
  std::unordered_map<std::string, ReplicaLoad> peer_load;
};

struct ReplicaPolicy {
  // Prompt tokens that a replica reads in a millisecond, before it has been seen to.
  double prefill_tokens_per_ms = 55;
  // Unread prompt tokens at one replica, of all entries, beyond which it gets no further prompt.
  // About 0.5 s of reading, half of the longest objective: more would wait in the replica's own
  // queue, where arrival order rules.
  std::uint64_t max_prefill_tokens = 26000;
  // The same for a prompt whose shared parts the replica does not keep.
  std::uint64_t max_uncached_prefill_tokens = 5000;
  // Share of a replica's slots that may be in use. The last slots slow all requests down.
  double max_slot_share = 0.9;
  // Extra cost of a replica in another failure domain of the region, and in another region, in
  // milliseconds: delay and billed bytes.
  double domain_cost_ms = 30;
  double region_cost_ms = 60;
  // Extra cost of reading a shared token at a replica that is not expected to keep it, in
  // milliseconds. Reading a part twice takes capacity from all requests, so a caller had better
  // wait for the replica that keeps it.
  double recompute_cost_ms = 0.15;
  // Extra cost of each rank at a replica that does not keep the shared parts, in milliseconds, so
  // that all entries turn to the same few replicas when the first is busy.
  double rank_cost_ms = 15;
  // Slowdown of all requests of a replica by one more request, as milliseconds of the new one.
  double request_cost_ms = 4;
  // Age from which a report on other entries' requests counts as half.
  core::Duration report_half_life = std::chrono::milliseconds(1000);
  // Time without requests after the first failure; doubles with each further one.
  core::Duration ejection_time = std::chrono::milliseconds(500);
  core::Duration max_ejection_time = std::chrono::seconds(4);
  // Failures in a row that set a replica aside.
  std::uint32_t failures_to_eject = 2;
  // Part of the replica's memory that is assumed to hold parts for later; the rest belongs to
  // running requests.
  std::uint64_t cache_capacity_tokens = 300000;
};

// Place from which a replica is chosen.
struct Origin {
  std::string failure_domain;
  // Region by failure domain.
  std::map<std::string, std::string> regions;
};

auto UpsertReplica(ReplicaTable& table, Listing listing) -> void;

// Handles that the platform no longer lists the replica. It is used until `until`, or not at all if
// that is past; a new listing ends the delisting.
auto DelistReplica(ReplicaTable& table, const std::string& id, core::Time until) -> void;

// Drops replicas whose delisting has run out and that have no request left.
auto RemoveExpiredReplicas(ReplicaTable& table, core::Time now) -> void;

// Return the replica, or null if it is not known. FindListed looks among those that the platform
// lists.
auto FindReplica(ReplicaTable& table, std::string_view service, const std::string& id) -> Replica*;
auto FindListedReplica(ReplicaTable& table, const std::string& id) -> Replica*;

// Request for which a replica is chosen.
struct PlacementRequest {
  std::string_view service;
  const Prompt* prompt = nullptr;
  // Replicas that this request was sent to before.
  const std::set<std::string>* tried = nullptr;
  // Share of a replica's room that the request may use.
  double capacity_share = 1;
  // Replicas that are left to requests that come first.
  const std::set<std::string>* reserved = nullptr;
};

enum class ChoiceStatus { chosen, full, none };

struct ReplicaChoice {
  ChoiceStatus status = ChoiceStatus::none;
  // If the status is `full`, the replica that the request should wait for.
  std::string id;
  std::string address;
  // Prompt tokens that the replica is expected to have to read.
  std::uint64_t prefill_tokens = 0;
};

// Chooses the replica where the request is expected to start first, counting distance and kept
// parts. `full` means that replicas exist but none should get a request now.
//
// All entries rank the replicas alike for the shared parts of a prompt, so that each part is read
// by one replica of the fleet, and by another one only when the first is busy.
auto ChooseReplica(const ReplicaTable& table, const ReplicaPolicy& policy, const Origin& origin,
                   const PlacementRequest& request, core::Time now) -> ReplicaChoice;

// Records that a request was assigned to the replica. `Began` takes its unread tokens back once
// they are read, or when the request ends before, and `Ended` its slot.
auto RecordAssignment(Replica& replica, const ReplicaPolicy& policy, const Prompt& prompt,
                      std::uint64_t prefill_tokens) -> void;
auto RecordPrefillDone(Replica& replica, std::uint64_t prefill_tokens) -> void;
auto ReleaseSlot(Replica& replica) -> void;

// Takes another entry's word on what it has at a replica. Returns whether it has less there than
// before, so that waiting requests may have room now.
auto SetPeerLoad(ReplicaTable& table, const std::string& peer, const std::string& replica,
                 ReplicaLoad load) -> bool;

// Forgets what an entry that is gone had.
auto DropPeer(ReplicaTable& table, const std::string& peer) -> void;

auto RecordLoadReport(Replica& replica, const LoadReport& report, core::Time now) -> void;

// How a replica failed: it could not be reached, or it did not answer as it should.
enum class ReplicaFault { unreachable, bad_answer };

// Records an answer, or that the replica failed. One that can't be reached is set aside at once,
// another one after several failures in a row, for a time that doubles.
auto RecordSuccess(Replica& replica) -> void;
auto RecordFailure(Replica& replica, const ReplicaPolicy& policy, ReplicaFault fault,
                   core::Time now) -> void;

}  // namespace filbertstair::direct

namespace filbertstair::core {
template <>
inline constexpr NameTable<direct::ReplicaState, 2> kNames<direct::ReplicaState>{
    {{direct::ReplicaState::ready, "ready"}, {direct::ReplicaState::leaving, "leaving"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_DIRECT_REPLICAS_H_
