#include "filbertstair/routing/queue.h"

#include <algorithm>

namespace filbertstair::routing {
namespace {

// Calls `visit` for each queue of one workspace and service. They are adjacent in key order.
template <typename Table, typename Visit>
auto ForEachQueue(Table& table, const std::string& service, const std::string& workspace,
                  Visit visit) -> void {
  for (auto it = table.queues.lower_bound(QueueKey{service, workspace, ""});
       it != table.queues.end() && it->first.service == service && it->first.workspace == workspace;
       ++it) {
    visit(it->first, it->second);
  }
}

// Removes and returns the first request of the queue whose deadline has not passed.
auto TakeUnexpired(QueueTable& table, const QueueKey& key, core::Time now)
    -> std::optional<WaiterId> {
  const auto found = table.queues.find(key);
  if (found == table.queues.end()) return std::nullopt;
  auto& queue = found->second;
  const auto unexpired = std::find_if(
      queue.begin(), queue.end(), [now](const Waiter& waiter) { return waiter.deadline > now; });
  if (unexpired == queue.end()) return std::nullopt;
  const WaiterId id = unexpired->id;
  queue.erase(unexpired);
  --table.waiting;
  if (queue.empty()) table.queues.erase(found);
  return id;
}

}  // namespace

auto Enqueue(QueueTable& table, const QueueKey& key, std::uint32_t max_waiting, core::Time deadline)
    -> EnqueueResult {
  std::size_t waiting = 0;
  ForEachQueue(table, key.service, key.workspace,
               [&](const QueueKey&, const auto& queue) { waiting += queue.size(); });
  if (waiting >= max_waiting) return {0, core::Reason::queue_full};
  const WaiterId id = ++table.last_id;
  table.queues[key].push_back({id, deadline});
  ++table.waiting;
  return {id, std::nullopt};
}

auto RemoveWaiter(QueueTable& table, const QueueKey& key, WaiterId id) -> bool {
  const auto found = table.queues.find(key);
  if (found == table.queues.end()) return false;
  const auto erased =
      std::erase_if(found->second, [id](const Waiter& waiter) { return waiter.id == id; });
  table.waiting -= erased;
  if (found->second.empty()) table.queues.erase(found);
  return erased > 0;
}

auto TakeForGrant(QueueTable& table, const std::string& service, const std::string& workspace,
                  const std::string& endpoint, core::Time now) -> std::optional<WaiterId> {
  if (auto id = TakeUnexpired(table, {service, workspace, endpoint}, now)) return id;
  return TakeUnexpired(table, {service, workspace, ""}, now);
}

auto CountWaitingFor(const QueueTable& table, const std::string& endpoint,
                     const std::vector<std::string>& services) -> std::vector<WaitingCount> {
  std::vector<WaitingCount> out;
  for (const auto& [key, queue] : table.queues) {
    if (!key.owner.empty() && key.owner != endpoint) continue;
    if (std::find(services.begin(), services.end(), key.service) == services.end()) continue;
    const bool same =
        !out.empty() && out.back().service == key.service && out.back().workspace == key.workspace;
    if (!same) out.push_back({key.service, key.workspace, 0});
    out.back().count += static_cast<std::uint32_t>(queue.size());
  }
  return out;
}

auto HasUnownedRequests(const QueueTable& table, const std::string& service,
                        const std::string& workspace) -> bool {
  return table.queues.contains(QueueKey{service, workspace, ""});
}

}  // namespace filbertstair::routing
