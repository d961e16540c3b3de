#ifndef FILBERTSTAIR_ROUTING_QUEUE_H_
#define FILBERTSTAIR_ROUTING_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "filbertstair/core/reason.h"
#include "filbertstair/core/types.h"

namespace filbertstair::routing {

using WaiterId = std::uint64_t;

// Identifies the queue of one workspace for one service. `owner` is the id of the only endpoint
// that may serve the queue's requests, as for calls with an idempotency key; it is empty if any
// endpoint of the service may serve them.
struct QueueKey {
  std::string service;
  std::string workspace;
  std::string owner;

  auto operator<=>(const QueueKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

// A waiting request and the time until which it may wait.
struct Waiter {
  WaiterId id = 0;
  core::Time deadline{};
};

// Requests that wait at an entry, in FIFO order per queue. `waiting` is their total number.
struct QueueTable {
  std::map<QueueKey, std::deque<Waiter>> queues;
  WaiterId last_id = 0;
  std::size_t waiting = 0;
};

// Result of Enqueue: the id of the added request, or the reason why it was refused.
struct EnqueueResult {
  WaiterId id = 0;
  std::optional<core::Reason> refusal;
};

// Adds a request that may wait until `deadline`. Refuses with queue_full if `max_waiting` requests
// of the workspace already wait for the service, counted over all owners.
auto Enqueue(QueueTable& table, const QueueKey& key, std::uint32_t max_waiting, core::Time deadline)
    -> EnqueueResult;

// Removes a request that no longer waits. Returns false if it has already been taken for a grant.
auto RemoveWaiter(QueueTable& table, const QueueKey& key, WaiterId id) -> bool;

// Removes and returns the request that uses a grant of `endpoint`, or nothing if none waits.
// Requests that only this endpoint may serve come first. Requests past their deadline are skipped;
// their own timers remove them.
auto TakeForGrant(QueueTable& table, const std::string& service, const std::string& workspace,
                  const std::string& endpoint, core::Time now) -> std::optional<WaiterId>;

// Number of waiting requests of one workspace and service.
struct WaitingCount {
  std::string service;
  std::string workspace;
  std::uint32_t count = 0;
};

// Counts the waiting requests for `services` that `endpoint` may serve, by workspace and service.
auto CountWaitingFor(const QueueTable& table, const std::string& endpoint,
                     const std::vector<std::string>& services) -> std::vector<WaitingCount>;

// Returns whether the workspace has waiting requests that any endpoint of the service may serve.
auto HasUnownedRequests(const QueueTable& table, const std::string& service,
                        const std::string& workspace) -> bool;

}  // namespace filbertstair::routing

#endif  // FILBERTSTAIR_ROUTING_QUEUE_H_
