#ifndef FILBERTSTAIR_DIRECT_QUEUE_H_
#define FILBERTSTAIR_DIRECT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "filbertstair/core/types.h"

namespace filbertstair::direct {

// Identifies a waiting request at one entry.
using Ticket = std::uint64_t;

struct Waiter {
  Ticket ticket = 0;
  // Urgency of the request's route; 0 comes first.
  std::uint32_t priority = 0;
  // Service that the request is expected to take: tokens for a model, 1 otherwise.
  double cost = 1;
};

// Service that decays over `QueuePolicy::window`; `amount` is valid at `at`.
struct DecayingService {
  double amount = 0;
  core::Time updated_at{};
};

// A workspace at another entry: its recent service there, and whether requests of it wait there.
struct PeerAccount {
  DecayingService service;
  bool waiting = false;
};

// A workspace's recent service and waiting requests.
struct Account {
  // Service asked of this entry, and that of the requests which it took in.
  DecayingService requested;
  DecayingService admitted;
  // Service taken through this entry, and through others by their id.
  DecayingService local_service;
  std::map<std::string, PeerAccount> peers;
  // Sum of the peers' service, and the number of them where requests wait. All service decays
  // alike, so a sum of it does too, and no choice has to look at each peer.
  DecayingService remote_service;
  std::size_t waiting_peers = 0;
  // In order of urgency, then of arrival.
  std::deque<Waiter> waiting;
};

struct QueuePolicy {
  // Time over which shares are compared. Service taken earlier counts less and less. What a
  // workspace took while nobody else asked must not be held against it for long: at 4 s it was held
  // down for three of the six seconds over which shares are judged.
  core::Duration decay_time = std::chrono::milliseconds(1500);
  // Part of the mean of the workspaces with waiting requests, at any entry, from which a workspace
  // leads. Those at the mean leave some room, so that one that begins to ask for more finds room
  // at once. At 1, such a workspace got half of its share.
  double excess_threshold = 0.8;
  // Lead that costs nothing: about two large requests.
  double free_excess = 20000;
  // Least share of a replica's room that a workspace may use, however far it leads, so that
  // replicas do not idle while others wait elsewhere. At 0.3, a workspace with callers at all
  // entries got a third of the capacity whoever else waited.
  double min_capacity_share = 0.15;
  // Requests without room that are passed over in one round of assignments. Each costs a look at
  // all replicas of the service.
  std::size_t max_skipped = 16;
};

// Requests that found no room in a round of assignments.
using SkippedTickets = std::set<Ticket>;

// Waiting requests of one service by workspace.
struct FairQueue {
  std::map<std::string, Account> accounts;
  std::size_t waiting = 0;
};

auto Enqueue(FairQueue& queue, const std::string& workspace, const Waiter& waiter) -> void;

// The request that is served next: the first one that was not passed over of the workspace with the
// least recent service. Nothing if `max_passed` requests were passed over.
struct NextRequest {
  const std::string* workspace = nullptr;
  const Waiter* waiter = nullptr;
};
auto PeekNextRequest(const FairQueue& queue, const QueuePolicy& policy, core::Time now,
                     const SkippedTickets& skipped = {}) -> std::optional<NextRequest>;

// Returns the share of a replica's room that the workspace may use. Entries compete for the same
// room; one whose callers all belong to a workspace that leads leaves the rest to those entries
// where less served workspaces wait. The share falls with the square of the lead over the level
// from which a workspace leads. Measured against the least served one, which often is a small
// workspace that waits for a moment, all large workspaces had the same share, however different
// their service.
auto CapacityShare(const FairQueue& queue, const QueuePolicy& policy, const std::string& workspace,
                   core::Time now) -> double;

// Removes a waiting request. Returns false if it does not wait.
auto RemoveWaiter(FairQueue& queue, const std::string& workspace, Ticket ticket) -> bool;

// Charges service to a workspace; a negative cost takes back what was charged too much.
auto ChargeService(FairQueue& queue, const QueuePolicy& policy, const std::string& workspace,
                   double cost, core::Time now) -> void;

// Counts service that a workspace asked of this entry, and that of a request which it took in.
auto RecordRequestedService(FairQueue& queue, const QueuePolicy& policy,
                            const std::string& workspace, double cost, core::Time now) -> void;

auto RecordAdmittedService(FairQueue& queue, const QueuePolicy& policy,
                           const std::string& workspace, double cost, core::Time now) -> void;

// Returns the recent service beyond which a workspace has more than its max-min share of what this
// entry took in. If all workspaces had all taken in, that is the service of the one that has most.
auto AdmissionShare(const FairQueue& queue, const QueuePolicy& policy, core::Time now) -> double;

// Takes another entry's word on a workspace there, and forgets an entry that is gone.
auto SetPeerAccount(FairQueue& queue, const QueuePolicy& policy, const std::string& workspace,
                    const std::string& peer, const PeerAccount& account) -> void;
auto DropPeer(FairQueue& queue, const QueuePolicy& policy, const std::string& peer, core::Time now)
    -> void;

// Returns recent service at `now`: of one source, and of a workspace over all entries.
auto RecentService(const DecayingService& service, const QueuePolicy& policy, core::Time now)
    -> double;
auto RecentService(const Account& account, const QueuePolicy& policy, core::Time now) -> double;

// Drops workspaces that wait for nothing and whose recent service has decayed.
auto RemoveIdleAccounts(FairQueue& queue, const QueuePolicy& policy, core::Time now) -> void;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_QUEUE_H_
