#ifndef FILBERTSTAIR_DIRECT_DISPUTE_H_
#define FILBERTSTAIR_DIRECT_DISPUTE_H_

#include <string>

#include "filbertstair/core/types.h"
#include "filbertstair/direct/replicas.h"

// Listings that contradict what is known of a replica. A replica keeps its service and address from
// its start to its end, so that one of two such listings is not its own.
namespace filbertstair::direct {

struct DisputePolicy {
  // Time after which a listing that contradicts the known one is believed if it still stands. The
  // replica writes its own again at its next check-in; the platform removes the listing of a
  // replica that misses three of them, which takes 3.6 s at the usual interval of 1.2 s.
  core::Duration settle_time = std::chrono::seconds(4);
};

// Applies a listing. If it has another service or another address than the known one, and no later
// start, neither is used: the replica is delisted until it is listed as it was known or with a
// later start, or until SettleDisputes believes the new listing. Returns whether the listing is in
// use.
auto ApplyListing(ReplicaTable& table, const DisputePolicy& policy, Listing listing, core::Time now)
    -> bool;

// Lists the replicas whose contradicting listing has stood for the settle time.
auto SettleDisputes(ReplicaTable& table, core::Time now) -> void;

// Forgets the dispute about a replica that the platform no longer lists.
auto DropDispute(ReplicaTable& table, const std::string& id) -> void;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_DISPUTE_H_
