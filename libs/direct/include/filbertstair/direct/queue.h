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
  // Priority of the request's route; 0 is the most urgent.
  std::uint32_t priority = 0;
  // Expected service: tokens for a model, 1 otherwise.
  double cost = 1;
};

// Amount of service that decays exponentially with the time constant `QueuePolicy::decay_time`;
// `amount` is valid at `updated_at`.
struct DecayingService {
  double amount = 0;
  core::Time updated_at{};
};

// State of a workspace at another entry: its recent service there, and whether its requests wait
// there.
struct PeerAccount {
  DecayingService service;
  bool waiting = false;
};

// A workspace's recent service and waiting requests.
struct Account {
  // Service requested from this entry, and that of the requests which it admitted.
  DecayingService requested;
  DecayingService admitted;
  // Service assigned through this entry, and through other entries by their id.
  DecayingService local_service;
  std::map<std::string, PeerAccount> peers;
  // Sum of the peers' service, and the number of peers where requests wait. All service decays with
  // the same time constant, so its sum can be kept without iterating over the peers.
  DecayingService remote_service;
  std::size_t waiting_peers = 0;
  // Ordered by priority, then by `FairQueue::order`.
  std::deque<Waiter> waiting;
};

struct QueuePolicy {
  // Time constant of the decay of service, over which shares are compared. Service that a workspace
  // used while no other requested any must not count against it for long: with 4 s it was held back
  // for three of the six seconds over which shares are evaluated.
  core::Duration decay_time = std::chrono::milliseconds(1500);
  // Fraction of the mean service of the workspaces with waiting requests, at any entry, from which
  // service counts as excess. Workspaces at the mean leave some capacity, so that one that starts
  // to request more finds capacity at once. At 1, such a workspace got half of its share.
  double excess_threshold = 0.8;
  // Excess without effect, in the unit of the service: about two large requests.
  double free_excess = 20000;
  // Minimum share of a replica's capacity that a workspace may use, however large its excess, so
  // that replicas do not idle while requests wait at other entries. At 0.3, a workspace with
  // callers at all entries got a third of the capacity regardless of the other waiting ones.
  double min_capacity_share = 0.15;
  // Maximum number of requests without capacity that are skipped in one assignment round. Each
  // costs a scan of all replicas of the service.
  std::size_t max_skipped = 16;
};

// Order in which the waiting requests of one workspace and priority are served.
//
// While more arrives than can be served, oldest first makes every request wait for nearly as long
// as it may, so that those that are served are late as well. Newest first serves the ones that are
// still in time; the others are refused when they may wait no longer.
enum class QueueOrder { oldest_first, newest_first };

// Requests for which an assignment round found no capacity.
using SkippedTickets = std::set<Ticket>;

// Waiting requests and recent service of one service, by workspace.
struct FairQueue {
  std::map<std::string, Account> accounts;
  std::size_t waiting = 0;
  QueueOrder order = QueueOrder::oldest_first;
};

auto Enqueue(FairQueue& queue, const std::string& workspace, const Waiter& waiter) -> void;

// Sets the order for requests that arrive later; those that wait keep their places. Returns whether
// the order changed.
auto SetOrder(FairQueue& queue, QueueOrder order) -> bool;

// Next request to serve: of the workspace with the least recent service that has requests which
// were not skipped, the first such one. Nothing if `max_skipped` requests were skipped.
struct NextRequest {
  const std::string* workspace = nullptr;
  const Waiter* waiter = nullptr;
};
auto PeekNextRequest(const FairQueue& queue, const QueuePolicy& policy, core::Time now,
                     const SkippedTickets& skipped = {}) -> std::optional<NextRequest>;

// Returns the share of a replica's capacity, from `min_capacity_share` to 1, that the workspace may
// use. Entries compete for the same capacity; an entry whose callers all belong to a workspace with
// excess service leaves the rest to the entries where less served workspaces wait. The share falls
// with the square of the ratio of the service to the level where excess starts. A comparison with
// the least served workspace, which often is a small one that waits for a moment, gave all large
// workspaces the same share, however different their service.
auto CapacityShare(const FairQueue& queue, const QueuePolicy& policy, const std::string& workspace,
                   core::Time now) -> double;

// Removes a waiting request. Returns false if it is not in the queue.
auto RemoveWaiter(FairQueue& queue, const std::string& workspace, Ticket ticket) -> bool;

// Charges service to a workspace; a negative cost refunds it.
auto ChargeService(FairQueue& queue, const QueuePolicy& policy, const std::string& workspace,
                   double cost, core::Time now) -> void;

// Record service that a workspace requested from this entry, and that of a request which this entry
// admitted.
auto RecordRequestedService(FairQueue& queue, const QueuePolicy& policy,
                            const std::string& workspace, double cost, core::Time now) -> void;

auto RecordAdmittedService(FairQueue& queue, const QueuePolicy& policy,
                           const std::string& workspace, double cost, core::Time now) -> void;

// Returns the recent service above which a workspace has more than its max-min share of what this
// entry admitted. If all requests of all workspaces were admitted, that is the largest service of a
// workspace.
auto AdmissionShare(const FairQueue& queue, const QueuePolicy& policy, core::Time now) -> double;

// Applies another entry's report of a workspace there, and drops all reports of an entry that was
// removed.
auto SetPeerAccount(FairQueue& queue, const QueuePolicy& policy, const std::string& workspace,
                    const std::string& peer, const PeerAccount& account) -> void;
auto DropPeer(FairQueue& queue, const QueuePolicy& policy, const std::string& peer, core::Time now)
    -> void;

// Returns the recent service at `now`: of one value, and of a workspace over all entries.
auto RecentService(const DecayingService& service, const QueuePolicy& policy, core::Time now)
    -> double;
auto RecentService(const Account& account, const QueuePolicy& policy, core::Time now) -> double;

// Removes workspaces without waiting requests whose recent service has decayed.
auto RemoveIdleAccounts(FairQueue& queue, const QueuePolicy& policy, core::Time now) -> void;

}  // namespace filbertstair::direct

namespace filbertstair::core {
template <>
inline constexpr NameTable<direct::QueueOrder, 2> kNames<direct::QueueOrder>{
    {{direct::QueueOrder::oldest_first, "oldest_first"},
     {direct::QueueOrder::newest_first, "newest_first"}}};
}  // namespace filbertstair::core

#endif  // FILBERTSTAIR_DIRECT_QUEUE_H_
