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

// Queue of one workspace for one service. `owner` is the only endpoint that may serve the queue's
// requests, as for calls with an idempotency key; empty for any endpoint of the service.
struct QueueKey {
  std::string service;
  std::string workspace;
  std::string owner;

  auto operator<=>(const QueueKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

struct Waiter {
  WaiterId id = 0;
  core::Time deadline{};
};

// Requests that wait at an entry, first in, first out per workspace and service.
struct QueueTable {
  std::map<QueueKey, std::deque<Waiter>> queues;
  WaiterId last_id = 0;
  std::size_t waiting = 0;
};

// Adds a request. Refuses with queue_full if `max_waiting` requests of the workspace wait for the
// service, whichever endpoint they wait for.
struct EnqueueResult {
  WaiterId id = 0;
  std::optional<core::Reason> refusal;
};
auto Enqueue(QueueTable& table, const QueueKey& key, std::uint32_t max_waiting, core::Time deadline)
    -> EnqueueResult;

// Removes a request that stopped waiting. Returns false if it had been taken already.
auto RemoveWaiter(QueueTable& table, const QueueKey& key, WaiterId id) -> bool;

// Takes the request that uses a grant of `endpoint`: one that only this endpoint may serve before
// one that any may. Requests past their deadline are skipped; their own timers remove them.
auto TakeForGrant(QueueTable& table, const std::string& service, const std::string& workspace,
                  const std::string& endpoint, core::Time now) -> std::optional<WaiterId>;

// Requests of one workspace and service that an endpoint may serve.
struct WaitingCount {
  std::string service;
  std::string workspace;
  std::uint32_t count = 0;
};
auto CountWaitingFor(const QueueTable& table, const std::string& endpoint,
                     const std::vector<std::string>& services) -> std::vector<WaitingCount>;

// Whether requests of the workspace wait that any endpoint of the service may serve.
auto HasUnownedRequests(const QueueTable& table, const std::string& service,
                        const std::string& workspace) -> bool;

}  // namespace filbertstair::routing

#endif  // FILBERTSTAIR_ROUTING_QUEUE_H_
