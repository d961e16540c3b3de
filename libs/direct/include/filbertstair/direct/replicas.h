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
#include "filbertstair/direct/cold.h"
#include "filbertstair/direct/kept.h"
#include "filbertstair/direct/load_estimate.h"
#include "filbertstair/direct/residency.h"

namespace filbertstair::direct {

enum class ReplicaState { ready, leaving };

// Replica as published by the platform.
struct Listing {
  std::string id;
  std::string service;
  std::string address;
  std::string failure_domain;
  // Requests that it runs concurrently.
  std::uint32_t slots = 1;
  ReplicaState state = ReplicaState::ready;
  // Start of the replica in milliseconds since 1970; 0 if not specified. A new start under an old
  // id has an empty cache.
  std::int64_t started_ms = 0;
  // Remaining time for which the replica was cold when it wrote its entry.
  core::Duration cold_left{};

  auto operator==(const Listing&) const -> bool = default;
};

struct Replica {
  Listing listing;
  // Requests of this entry at the replica, and their prompt tokens that are estimated to await
  // prefill there.
  std::uint32_t in_flight = 0;
  std::uint64_t prefill_tokens = 0;
  // Requests of other entries, from the replica's last report, and the time of that report.
  std::uint32_t remote_in_flight = 0;
  core::Time reported_at{};
  LoadEstimate load_estimate;
  // Consecutive failures, and the end of the replica's ejection because of them.
  std::uint32_t failures = 0;
  core::Time ejected_until{};
  PrefixCache prefix_cache;
  // Whether the replica has said that it leaves; it gets no more requests.
  bool told_leaving = false;
  // End of the time for which the replica wants no requests, and the number of requests of this
  // entry that it gets at a time after that; 0 for no limit.
  core::Time closed_until{};
  std::uint32_t max_in_flight = 0;
  // Whether an invalid closing time of this start of the replica was logged.
  bool retry_after_ignored = false;
  // Set if the platform no longer lists the replica; it gets no more requests.
  bool removed = false;
  // Latest start that was listed. An entry with an earlier start, or without one, is no sign of a
  // new start.
  std::int64_t latest_start_ms = 0;
  // Time until which a delisted replica is still used, because the platform's list was unavailable
  // and may lack live replicas. Zero if it is not delisted.
  core::Time delisted_until{};
};

// Load at a replica: requests, and prompt tokens that await prefill.
struct ReplicaLoad {
  std::uint32_t in_flight = 0;
  std::uint64_t prefill_tokens = 0;

  auto operator==(const ReplicaLoad&) const -> bool = default;
};

// A start of a replica that has said that it leaves.
struct LeavingReplica {
  std::int64_t started_ms = 0;
  core::Time recorded_at{};
};

// Closing time of a replica that was removed from the list, with the start that told it.
struct Closing {
  std::int64_t started_ms = 0;
  core::Time closed_until{};
  std::uint32_t max_in_flight = 0;
};

// A listing that contradicts the known one; see dispute.h.
struct Dispute {
  Listing known;
  Listing claim;
  core::Time settles_at{};
};

struct ReplicaTable {
  // By service and id.
  std::map<std::string, std::map<std::string, Replica>, std::less<>> services;
  // Service by id of each listed replica.
  std::map<std::string, std::string> service_of;
  // Load of each linked entry at each replica, by entry and replica, and its sum over those
  // entries, by replica.
  std::map<std::string, std::map<std::string, ReplicaLoad>> peers;
  std::unordered_map<std::string, ReplicaLoad> peer_load;
  // Ratio of observed to calculated time to the first part of a response over all replicas of a
  // service, by service.
  std::unordered_map<std::string, DecayingMean> start_ratios;
  // Replicas that have said that they leave, by id. Kept when a replica is removed from the list.
  std::map<std::string, LeavingReplica> leaving;
  // Closing times of removed replicas, by id. They hold again when the same start is listed.
  std::map<std::string, Closing> closings;
  // Failure domains that the operator evacuates, also unknown ones; see evacuation.h.
  std::set<std::string> evacuated_domains;
  // Replicas whose last listing contradicts the one before, by id. They are not in `service_of`.
  std::map<std::string, Dispute> disputes;
  ColdTable cold;
};

struct ReplicaPolicy {
  // Prompt tokens that a replica prefills in a millisecond, as an estimate.
  double prefill_tokens_per_ms = 55;
  // Prompt tokens awaiting prefill at one replica, of all entries, beyond which it gets no further
  // prompt. They take about 0.5 s, half of the longest objective: more would wait in the replica's
  // own queue, which is served in order of arrival.
  std::uint64_t max_prefill_tokens = 26000;
  // The same for a prompt whose shared blocks the replica has not cached.
  std::uint64_t max_uncached_prefill_tokens = 5000;
  // Share of a replica's slots that may be in use. The last slots slow down all requests.
  double max_slot_share = 0.9;
  // Additional cost of a replica in another failure domain of the region, and in another region, in
  // milliseconds: it stands for the delay and the billed bytes.
  double domain_cost_ms = 30;
  double region_cost_ms = 60;
  // Additional cost per shared token that the replica is not expected to have cached, in
  // milliseconds. To prefill a block twice takes capacity from all requests, so that it is better
  // to wait for the replica that has it cached.
  double recompute_cost_ms = 0.15;
  // Additional cost per rank of a replica that has not cached the shared blocks, in milliseconds,
  // so that all entries fall back to the same few replicas when the first is busy.
  double rank_cost_ms = 15;
  // Maximum time for which a request waits for the cache owner of its shared blocks while other
  // replicas have capacity, as a multiple of the time in which one of these would prefill the
  // blocks. At 1 the wait costs the request no more than the prefill, which would also delay all
  // other requests of that replica.
  double max_cache_owner_wait = 2;
  // Maximum share of its time in the queue for which it waits for the cache owner. The rest is left
  // for finding another replica.
  double max_cache_owner_wait_share = 0.5;
  // Slowdown of all requests of a replica by one more request, as milliseconds of the new one.
  double request_cost_ms = 4;
  // Time that the other work of a request takes at the usual pace, in milliseconds: that of a
  // request to an application.
  double base_work_ms = 60;
  // Additional cost of a replica that has requests in its own queue, in milliseconds; above that of
  // shared blocks that another one has to prefill, so that it gets no work others have room for.
  double overrun_cost_ms = 1000;
  LoadEstimatePolicy load_estimate;
  // Costs, in milliseconds, whose difference makes one replica e times as likely as another one to
  // be drawn for a request. Entries that know the same loads would otherwise all choose the same
  // replica until they learn of each other's requests.
  double spread_ms = 8;
  // Maximum start ratio by which the limits of pending prefill are lowered.
  double max_limit_ratio = 2;
  // Time in which the weight of a report of other entries' requests halves.
  core::Duration report_half_life = std::chrono::milliseconds(1000);
  // Duration of the first ejection; doubles with each further failure up to `max_ejection_time`.
  core::Duration ejection_time = std::chrono::milliseconds(500);
  core::Duration max_ejection_time = std::chrono::seconds(4);
  // Consecutive failures after which a replica is ejected.
  std::uint32_t failures_to_eject = 2;
  // Tokens of the replica's cache that are assumed to be available for prefix blocks; the rest
  // belongs to running requests.
  std::uint64_t cache_capacity_tokens = 300000;
  ColdPolicy cold;
};

// Location of the entry that chooses a replica.
struct Origin {
  std::string failure_domain;
  // Region by failure domain.
  std::map<std::string, std::string> regions;
};

// Returns whether the listing is of a start of the replica that has said that it leaves, or of an
// earlier one.
auto IsLeaving(const ReplicaTable& table, const Listing& listing) -> bool;

auto UpsertReplica(ReplicaTable& table, Listing listing) -> void;

// Handles that the platform no longer lists the replica. It is used until `until`, or not at all if
// that is past; a new listing cancels the delisting.
auto DelistReplica(ReplicaTable& table, const std::string& id, core::Time until) -> void;

// Removes replicas that are no longer used and have no request left.
auto RemoveExpiredReplicas(ReplicaTable& table, core::Time now) -> void;

// Return the replica, or null if it is unknown. FindListedReplica finds only replicas that the
// platform lists.
auto FindReplica(ReplicaTable& table, std::string_view service, const std::string& id) -> Replica*;
auto FindListedReplica(ReplicaTable& table, const std::string& id) -> Replica*;

// Request for which a replica is chosen.
struct PlacementRequest {
  std::string_view service;
  const Prompt* prompt = nullptr;
  // Replicas to which this request was sent before.
  const std::set<std::string>* tried = nullptr;
  // Share of a replica's capacity that the request may use.
  double capacity_share = 1;
  // Replicas that are reserved for requests ahead of this one.
  const std::set<std::string>* reserved = nullptr;
  // Whether the request may still wait for the cache owner of its shared blocks; see
  // MaxCacheOwnerWait.
  bool may_wait_for_cache_owner = false;
  // Time until which the request may wait for a replica.
  core::Time wait_until{};
  // Regions in which the request may be served.
  Residency residency{};
  // Random number of the request, for example the hash of its id; 0 for a choice without a draw.
  std::uint64_t random = 0;
};

// `closed` means that the replicas that could be used want no requests until `reopens_at`.
enum class ChoiceStatus { chosen, full, closed, none };

struct ReplicaChoice {
  ChoiceStatus status = ChoiceStatus::none;
  // If the status is `full`, the replica for which the request should wait. Empty if it waits for
  // the cache owner of its shared blocks although others have capacity: nothing needs to be
  // reserved for it then.
  std::string id;
  std::string address;
  // Prompt tokens that the replica is expected to prefill.
  std::uint64_t prefill_tokens = 0;
  // Time after which the first part of the response is expected, without the learnt ratio of
  // observed to calculated time. Zero if the replica is ejected and the last resort.
  core::Duration calculated_start{};
  // If the status is `closed`, the time at which the first replica wants requests again.
  core::Time reopens_at{};
};

// Returns whether there is a replica that the request could be sent to, now or after the replica's
// ejection, closing time or other requests have ended.
auto HasUsableReplica(const ReplicaTable& table, const Origin& origin,
                      const PlacementRequest& request, core::Time now) -> bool;

// Returns the maximum time for which a request with this prompt, which may wait in the queue for
// `max_wait`, waits for the cache owner of its shared blocks while other replicas have capacity.
auto MaxCacheOwnerWait(const ReplicaPolicy& policy, const Prompt& prompt, core::Duration max_wait)
    -> core::Duration;

// Chooses the replica where the request is expected to start first, weighing distance and cached
// blocks. `full` means that there are replicas, but none should get a request now; `none` means
// that there is no usable replica.
//
// All entries rank the replicas in the same order for the shared blocks of a prompt, so that each
// block is prefilled by its cache owner, the first replica of that order, and by another one only
// when the owner is busy. A cold replica is chosen only if no warm one has capacity and it is this
// entry's turn there; while all are cold without a turn, the status is `full` without an id. If the
// owner is full and the best replica with capacity has not cached
// the blocks, a request that may wait for the owner gets `full` without an id: under load each
// freed slot would otherwise go to the next request in the queue, whatever the replica has cached.
auto ChooseReplica(const ReplicaTable& table, const ReplicaPolicy& policy, const Origin& origin,
                   const PlacementRequest& request, core::Time now) -> ReplicaChoice;

// Record the progress of a request at the replica. RecordAssignment occupies a slot and adds
// `prefill_tokens`; RecordObservedStart learns from the time to the first part of the response, of
// which `calculated` was expected without the learnt ratio; RecordPrefillDone subtracts them once
// they are prefilled, or when the request ends before; ReleaseSlot frees the slot.
auto RecordAssignment(Replica& replica, const ReplicaPolicy& policy, const Prompt& prompt,
                      std::uint64_t prefill_tokens) -> void;
auto RecordObservedStart(ReplicaTable& table, Replica& replica, const ReplicaPolicy& policy,
                         core::Duration calculated, core::Duration observed, core::Time now)
    -> void;
auto RecordPrefillDone(Replica& replica, std::uint64_t prefill_tokens) -> void;
auto ReleaseSlot(Replica& replica) -> void;

// Applies another entry's report of its load at a replica. Returns whether the load is less than
// before, so that there may be capacity for waiting requests.
auto SetPeerLoad(ReplicaTable& table, const std::string& peer, const std::string& replica,
                 ReplicaLoad load) -> bool;

// Drops the loads of an entry that was removed.
auto DropPeer(ReplicaTable& table, const std::string& peer) -> void;

// Applies a report of the replica about its load.
auto RecordLoadReport(Replica& replica, const ReplicaPolicy& policy, const LoadReport& report,
                      core::Time now) -> void;

// How a replica failed: it was unreachable, or its response was invalid.
enum class ReplicaFault { unreachable, bad_answer };

// Record a response or a failure. An unreachable replica is ejected at once, another one after
// `failures_to_eject` consecutive failures, for a time that doubles with each further failure.
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
