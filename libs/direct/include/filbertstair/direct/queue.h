#ifndef FILBERTSTAIR_DIRECT_QUEUE_H_
#define FILBERTSTAIR_DIRECT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
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
struct Recent {
  double amount = 0;
  core::Time at{};
};

// A workspace's recent service and waiting requests.
struct Account {
  // Service taken through this entry, and through others by their id.
  Recent own;
  std::map<std::string, Recent> peers;
  // In order of urgency, then of arrival.
  std::deque<Waiter> waiting;
};

struct QueuePolicy {
  // Time over which shares are compared. Service taken earlier counts less and less.
  core::Duration window = std::chrono::seconds(4);
};

// Waiting requests of one service by workspace.
struct FairQueue {
  std::map<std::string, Account> accounts;
  std::size_t waiting = 0;
};

auto Enqueue(FairQueue& queue, const std::string& workspace, const Waiter& waiter) -> void;

// The request that is served next: the first one of the workspace with the least recent service.
struct Next {
  const std::string* workspace = nullptr;
  const Waiter* waiter = nullptr;
};
auto PeekNext(const FairQueue& queue, const QueuePolicy& policy, core::Time now)
    -> std::optional<Next>;

// Removes a waiting request. Returns false if it does not wait.
auto Remove(FairQueue& queue, const std::string& workspace, Ticket ticket) -> bool;

// Charges service to a workspace; a negative cost takes back what was charged too much.
auto Charge(FairQueue& queue, const QueuePolicy& policy, const std::string& workspace, double cost,
            core::Time now) -> void;

// Takes another entry's word on a workspace's recent service there, and forgets an entry that is
// gone.
auto SetPeerUsed(FairQueue& queue, const std::string& workspace, const std::string& peer,
                 double used, core::Time now) -> void;
auto DropPeer(FairQueue& queue, const std::string& peer) -> void;

// Returns recent service at `now`: of one source, and of a workspace over all entries.
auto Used(const Recent& recent, const QueuePolicy& policy, core::Time now) -> double;
auto Used(const Account& account, const QueuePolicy& policy, core::Time now) -> double;

// Drops workspaces that wait for nothing and whose recent service has decayed.
auto Sweep(FairQueue& queue, const QueuePolicy& policy, core::Time now) -> void;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_QUEUE_H_
