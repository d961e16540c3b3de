#include "state.h"

namespace filbertstair::relay {
namespace {

// Idle time after which a connection is not reused if the replica states no limit.
constexpr core::Duration kDefaultKeepAlive = std::chrono::seconds(4);
// A replica may close a connection up to this long before its stated limit as seen by this entry:
// the limit is in whole seconds, and a request is in transit for up to a link's delay.
constexpr core::Duration kKeepAliveMargin = std::chrono::milliseconds(1200);

}  // namespace

auto TakeIdleConnection(Relay& relay, const std::string& address) -> Exchange {
  auto& worker = ThisWorker(relay);
  const auto found = worker.idle.find(address);
  if (found == worker.idle.end()) return nullptr;
  auto& connections = found->second;
  const auto now = node::Now();
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    if (connection.expires_at > now && connection.exchange->IsIdle()) return connection.exchange;
    connection.exchange->Cancel();
  }
  worker.idle.erase(found);
  return nullptr;
}

auto StoreIdleConnection(Relay& relay, const std::string& address, Exchange exchange,
                         std::optional<core::Duration> keep_alive, std::size_t max_idle) -> void {
  auto& worker = ThisWorker(relay);
  if (!exchange->IsReusable() || worker.idle[address].size() >= max_idle) {
    exchange->Cancel();
    return;
  }
  const auto limit = keep_alive.value_or(kDefaultKeepAlive) - kKeepAliveMargin;
  if (limit <= core::Duration::zero()) {
    exchange->Cancel();
    return;
  }
  worker.idle[address].push_back({std::move(exchange), node::Now() + limit});
}

auto CloseIdleConnections(WorkerState& worker, const std::string& address) -> void {
  const auto found = worker.idle.find(address);
  if (found == worker.idle.end()) return;
  for (const auto& connection : found->second) connection.exchange->Cancel();
  worker.idle.erase(found);
}

auto CloseExpiredConnections(WorkerState& worker, core::Time now) -> void {
  for (auto& [address, connections] : worker.idle) {
    while (!connections.empty() && connections.front().expires_at <= now) {
      connections.front().exchange->Cancel();
      connections.pop_front();
    }
  }
  std::erase_if(worker.idle, [](const auto& item) { return item.second.empty(); });
}

}  // namespace filbertstair::relay
