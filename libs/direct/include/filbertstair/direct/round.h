#ifndef FILBERTSTAIR_DIRECT_ROUND_H_
#define FILBERTSTAIR_DIRECT_ROUND_H_

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "filbertstair/direct/queue.h"
#include "filbertstair/direct/replicas.h"

namespace filbertstair::direct {

// What a round of assignments reads.
struct AssignmentInput {
  const FairQueue& queue;
  const QueuePolicy& queue_policy;
  const ReplicaTable& replicas;
  const ReplicaPolicy& replica_policy;
  const Origin& origin;
  // Returns what a waiting request needs; its room is set by the round.
  std::function<PlacementRequest(Ticket)> make_request;
};

// State of one round of assignments over the waiting requests of a service. A round goes on with
// requests that arrive, so that each costs one look at the replicas; a new one starts when replicas
// may have room that they did not have.
struct AssignmentRound {
  SkippedTickets skipped;
  // Replicas that requests without room wait for. Requests after them leave these replicas alone:
  // small ones would otherwise fill them again and again, and a large one would never find room.
  std::set<std::string> reserved;
};

// A waiting request with the replica that it goes to, or with the status `none` if no replica is
// left for it.
struct ResolvedRequest {
  std::string workspace;
  Ticket ticket = 0;
  ReplicaChoice choice;
};

// Returns the next waiting request that can be settled, in the order of PeekNext. Requests without
// room are passed over: the replicas differ in what they keep, so that requests behind them may
// have room elsewhere. The caller removes the request, charges it and calls again.
auto ResolveNextRequest(AssignmentRound& round, const AssignmentInput& input, core::Time now)
    -> std::optional<ResolvedRequest>;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_ROUND_H_
