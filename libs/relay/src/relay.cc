#include "filbertstair/relay/relay.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <limits>

#include "filbertstair/net/address.h"
#include "filbertstair/node/admin.h"
#include "filbertstair/node/start.h"
#include "state.h"

namespace filbertstair::relay {
namespace {

using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

// Interval at which idle connections, decayed accounts and delisted replicas are dropped.
constexpr core::Duration kSweepInterval = std::chrono::milliseconds(500);
// Least time between two rounds of assignments to freed room; well below the time that a request
// may wait.
constexpr core::Duration kAssignInterval = std::chrono::milliseconds(10);
// Interval at which the delay of timers is looked at.
constexpr core::Duration kPressureInterval = std::chrono::milliseconds(50);
// Interval at which usage by workspace is logged; shares are judged second by second.
constexpr core::Duration kUsageInterval = std::chrono::seconds(1);
// Memory of a process without connections, with its tables, links and log: 20 to 40 MB were
// measured.
constexpr std::size_t kBaseMemoryMb = 48;
// Connections for each further MB: one with a request in hand takes about 47 KB, with its fiber,
// the connection to the replica and what has arrived.
constexpr std::size_t kConnectionsPerMb = 16;
// Largest body before a configuration states a limit.
constexpr std::uint64_t kMaxBody = std::uint64_t{8} << 20;

// An entry whose configuration is not confirmed leaves callers to those that are better off, if
// there are any; without the platform all serve what needs no credential.
auto IsReady(Relay& relay) -> bool {
  if (relay.node.draining || CurrentFleet(relay) == nullptr) return false;
  if (relay.left_rotation) return false;
  const auto& callers = ThisWorker(relay).callers;
  if (callers != nullptr && callers->IsFull()) return false;
  if (HasCurrentFleet(relay)) return true;
  return relay.peers.With([now = node::Now()](const PeerTable& table) {
    return std::none_of(table.current_until.begin(), table.current_until.end(),
                        [now](const auto& entry) { return entry.second > now; });
  });
}

auto ToMilliseconds(core::Duration duration) -> std::chrono::milliseconds {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

// Connections that one worker's listener may have, by the process's memory.
auto MaxConnections(const settings::Settings& settings, std::size_t workers) -> std::size_t {
  if (!settings.memory_mb) return std::numeric_limits<std::size_t>::max();
  const auto left = *settings.memory_mb > kBaseMemoryMb ? *settings.memory_mb - kBaseMemoryMb : 0;
  return std::max<std::size_t>(1, left * kConnectionsPerMb / workers);
}

auto LimitsInForce(Relay& relay) -> net::HttpLimits {
  net::HttpLimits limits;
  limits.max_body_bytes = kMaxBody;
  limits.max_connections = MaxConnections(relay.node.settings, relay.workers.size());
  const auto fleet = CurrentFleet(relay);
  if (fleet == nullptr) return limits;
  limits.max_header_bytes = fleet->limits.max_header_bytes;
  limits.max_body_bytes = fleet->limits.max_body_bytes;
  limits.max_header_time = ToMilliseconds(fleet->limits.header_timeout);
  limits.max_idle_time = ToMilliseconds(fleet->limits.idle_timeout);
  return limits;
}

// Whether the calling worker may refuse requests as overloaded now.
auto IsScreening(Relay& relay) -> bool {
  const auto& worker = ThisWorker(relay);
  return direct::IsStalled(worker.pressure, relay.policies.pressure) ||
         direct::IsRateLimited(worker.intake, relay.policies.intake, node::Now());
}

auto ListenCallers(const std::shared_ptr<Relay>& relay) -> void {
  const auto address = settings::FormatAddress(relay->node.settings.callers);
  net::HttpHandlers handlers;
  handlers.request = [relay](const net::HttpRequest& request, net::Responder& responder) {
    HandleRequest(*relay, request, responder);
  };
  handlers.fault = [relay](net::RequestFault fault, net::Responder& responder) {
    node::SendRefusal(relay->node, "", "", node::ToRequestRefusal(fault), responder);
  };
  // A caller whose next request would be refused comes back on a new connection, where that costs
  // less. Otherwise a caller of an entry that stays in rotation keeps its connection.
  handlers.should_close = [relay] {
    return relay->node.draining || relay->left_rotation || IsScreening(*relay);
  };
  handlers.limits = [relay] { return LimitsInForce(*relay); };
  handlers.should_screen = [relay] { return IsScreening(*relay); };
  handlers.screen = [relay](const net::HttpRequest& head, bool full) {
    return ScreenRequest(*relay, head, full);
  };
  ThisWorker(*relay).callers =
      std::make_shared<net::HttpListener>(net::ListenHttp(address, {}, std::move(handlers)));
  telemetry::Log(Level::info, Event::listening, {{"purpose", "callers"}, {"address", address}});
}

auto AddStatus(Relay& relay, boost::json::object& status) -> void {
  const auto now = node::Now();
  const auto fleet = CurrentFleet(relay);
  status["fleet_version"] = fleet == nullptr ? 0 : fleet->version;
  status["rotation"] = core::Name(relay.rotation.load());
  status["left_rotation"] = relay.left_rotation.load();
  boost::json::array neighbors;
  for (const auto& neighbor : Neighbors(relay)) {
    neighbors.push_back(
        {{"id", neighbor.id}, {"cores", neighbor.cores}, {"rotation", core::Name(neighbor.state)}});
  }
  status["neighbors"] = std::move(neighbors);
  status["confirmed_age_us"] = (BootTime() - core::Duration(relay.confirmed.load())).count();
  relay.dispatch.With([&](const DispatchTable& table) {
    boost::json::array replicas;
    for (const auto& [service, members] : table.replicas.services) {
      for (const auto& [id, replica] : members) {
        const auto elsewhere = table.replicas.peer_load.find(id);
        const bool used = elsewhere != table.replicas.peer_load.end();
        replicas.push_back({{"id", id},
                            {"service", service},
                            {"state", core::Name(replica.listing.state)},
                            {"in_flight", replica.in_flight},
                            {"unread_tokens", replica.prefill_tokens},
                            {"kept_tokens", replica.prefix_cache.tokens},
                            {"elsewhere", used ? elsewhere->second.in_flight : 0},
                            {"set_aside", replica.ejected_until > now}});
      }
    }
    status["replicas"] = std::move(replicas);
    boost::json::array accounts;
    for (const auto& [service, queue] : table.queues) {
      for (const auto& [workspace, account] : queue.accounts) {
        accounts.push_back({{"service", service},
                            {"workspace", workspace},
                            {"waiting", account.waiting.size()},
                            {"recent", direct::RecentService(account, relay.policies.queue, now)}});
      }
    }
    status["accounts"] = std::move(accounts);
  });
}

auto StartAdmin(const std::shared_ptr<Relay>& relay) -> void {
  node::AdminHandlers handlers;
  handlers.is_ready = [relay] { return IsReady(*relay); };
  handlers.add_status = [relay](boost::json::object& status) { AddStatus(*relay, status); };
  handlers.refresh_gauges = [relay] {
    const auto waiting =
        relay->dispatch.With([](const DispatchTable& table) { return table.pending.size(); });
    relay->node.metrics.Set(Metric::waiting, static_cast<double>(waiting));
  };
  handlers.begin_drain = [relay] { Drain(*relay); };
  node::ListenAdmin(relay->node, handlers);
}

// Assigns waiting requests to room that was freed here or by other entries. That happens too often
// to look at the queues each time: with 60 replicas and 16 waiting requests a round takes 0.2 ms.
auto AssignLoop(Relay& relay) -> void {
  while (true) {
    relay.freed.Wait();
    relay.dispatch.With([&](DispatchTable& table) {
      for (const auto& [service, queue] : table.queues) AssignWaiting(relay, table, service);
    });
    runtime::SleepFor(kAssignInterval);
  }
}

// Decides anew whether this entry leaves new callers to others of its failure domain, and tells the
// others of its state. One that is stalled serves nobody and leaves in any case.
auto UpdateRotation(Relay& relay, bool behind, bool stalled) -> void {
  using core::RotationState;
  const bool out = relay.node.draining || !HasCurrentFleet(relay);
  const auto state = out      ? RotationState::out
                     : behind ? RotationState::lagging
                              : RotationState::serving;
  const direct::RotationMember self{relay.node.settings.id, relay.node.settings.cores.value_or(1),
                                    state};
  const bool left = behind && (stalled || direct::MayLeaveRotation(relay.policies.rotation, self,
                                                                   Neighbors(relay)));
  if (relay.rotation.exchange(state) != state) WakePeers(relay);
  if (relay.left_rotation.exchange(left) == left) return;
  telemetry::Log(Level::info, Event::rotation_changed,
                 {{"state", core::Name(state)}, {"left", left ? "true" : "false"}});
}

// Watches how late the worker's timers run, and adapts what it takes in.
auto WatchPressure(Relay& relay) -> void {
  auto& pressure = ThisWorker(relay).pressure;
  auto& intake = ThisWorker(relay).intake;
  const double cores = relay.node.settings.cores.value_or(0);
  intake = direct::MakeAdmissionLimiter(
      relay.policies.intake, cores / static_cast<double>(relay.workers.size()), node::Now());
  while (true) {
    const auto due = node::Now() + kPressureInterval;
    runtime::SleepFor(kPressureInterval);
    const auto now = node::Now();
    const bool before = pressure.overloaded_until != core::Time{};
    direct::RecordTimerDelay(pressure, relay.policies.pressure, now - due, now);
    direct::UpdateAdmissionRate(intake, relay.policies.intake, pressure.mean_delay, now);
    const bool behind = direct::IsOverloaded(pressure, now);
    const bool stalled = direct::IsStalled(pressure, relay.policies.pressure);
    if (runtime::WorkerIndex() == 0) UpdateRotation(relay, behind, stalled);
    if (behind == before) continue;
    if (!behind) pressure.overloaded_until = {};
    telemetry::Log(behind ? Level::warning : Level::info,
                   behind ? Event::overloaded : Event::overload_ended,
                   {{"delay_us", std::to_string(pressure.mean_delay.count())}});
  }
}

auto UsageLoop(Relay& relay) -> void {
  while (true) {
    runtime::SleepFor(kUsageInterval);
    LogUsage(relay);
  }
}

auto SweepLoop(Relay& relay) -> void {
  while (true) {
    runtime::SleepFor(kSweepInterval);
    const auto now = node::Now();
    SweepIdle(ThisWorker(relay), now);
    if (runtime::WorkerIndex() != 0) continue;
    relay.dispatch.With([&](DispatchTable& table) {
      direct::RemoveExpiredReplicas(table.replicas, now);
      for (auto& [service, queue] : table.queues) {
        AssignWaiting(relay, table, service);
        direct::RemoveIdleAccounts(queue, relay.policies.queue, now);
      }
    });
  }
}

}  // namespace

auto Start(node::Node& node, const Dialect& dialect) -> std::shared_ptr<Relay> {
  auto relay = std::make_shared<Relay>(node, dialect);
  relay->origin.failure_domain = node.settings.failure_domain;
  relay->origin.regions = node.settings.failure_domains;
  net::CheckAddressAvailable(settings::FormatAddress(node.settings.peers));
  net::CheckAddressAvailable(settings::FormatAddress(node.settings.callers));
  net::CheckAddressAvailable(settings::FormatAddress(node.settings.admin));
  for (std::size_t i = 0; i < node.pool.Size(); ++i) {
    node::RunOnWorker(node, i, [&] {
      ListenPeers(relay);
      ListenCallers(relay);
    });
    node.pool.Post(i, [relay] { SweepLoop(*relay); });
    node.pool.Post(i, [relay] { WatchPressure(*relay); });
  }
  node.pool.Post(0, [relay] { AssignLoop(*relay); });
  node.pool.Post(0, [relay] { UsageLoop(*relay); });
  node::RunOnWorker(node, 0, [&] { StartAdmin(relay); });
  AddSeeds(*relay, node.settings.seeds);
  return relay;
}

auto Drain(Relay& relay) -> void {
  if (!node::BeginDrain(relay.node)) return;
  for (std::size_t i = 0; i < relay.workers.size(); ++i) {
    relay.node.pool.Post(i, [&relay, i] {
      runtime::SleepFor(node::kDrainNoticeTime);
      if (relay.workers[i].callers) relay.workers[i].callers->Drain();
    });
  }
}

auto Stop(Relay& relay, node::StopScope scope) -> void {
  for (std::size_t i = 0; i < relay.workers.size(); ++i) {
    relay.node.pool.Post(i, [&relay, i, scope] { StopCalls(relay.workers[i], scope); });
  }
}

}  // namespace filbertstair::relay
