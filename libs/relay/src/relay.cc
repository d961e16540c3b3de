#include "filbertstair/relay/relay.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <limits>

#include "filbertstair/core/hex.h"
#include "filbertstair/node/admin.h"
#include "filbertstair/node/start.h"
#include "state.h"

namespace filbertstair::relay {
namespace {

using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

// Interval at which expired idle connections, decayed accounts and delisted replicas are removed.
constexpr core::Duration kSweepInterval = std::chrono::milliseconds(500);
// Interval at which the delay of timers is sampled and silent replicas are looked for.
constexpr core::Duration kWatchInterval = std::chrono::milliseconds(50);
// Interval at which usage by workspace is logged; shares are evaluated second by second.
constexpr core::Duration kUsageInterval = std::chrono::seconds(1);
// Connections for each further MB: one with a request in progress takes about 47 KB, including its
// fiber, the connection to the replica and the received data.
constexpr std::size_t kConnectionsPerMb = 16;
// Maximum suspected prompt blocks in /status.
constexpr std::size_t kMaxListedBlocks = 256;
// Maximum body size before a configuration states a limit.
constexpr std::uint64_t kDefaultMaxBodyBytes = std::uint64_t{8} << 20;

// An entry whose configuration is not confirmed leaves callers to entries with a confirmed one, if
// there are any; without the platform all serve requests that need no credential.
auto IsReady(Relay& relay) -> bool {
  if (relay.node.draining || CurrentFleet(relay) == nullptr) return false;
  if (relay.left_rotation) return false;
  const auto& listener = ThisWorker(relay).caller_listener;
  if (listener != nullptr && listener->IsFull()) return false;
  if (HasCurrentFleet(relay)) return true;
  return relay.peers.With([now = node::Now()](const PeerTable& table) {
    return std::none_of(table.confirmed_until.begin(), table.confirmed_until.end(),
                        [now](const auto& entry) { return entry.second > now; });
  });
}

auto ToMilliseconds(core::Duration duration) -> std::chrono::milliseconds {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

// Returns the maximum connections of one worker's listener, by the process's memory.
auto MaxConnections(const settings::Settings& settings, std::size_t workers) -> std::size_t {
  if (!settings.memory_mb) return std::numeric_limits<std::size_t>::max();
  const auto available_mb =
      *settings.memory_mb > node::kBaseMemoryMb ? *settings.memory_mb - node::kBaseMemoryMb : 0;
  return std::max<std::size_t>(1, available_mb * kConnectionsPerMb / workers);
}

auto CurrentLimits(Relay& relay) -> net::HttpLimits {
  net::HttpLimits limits;
  limits.max_body_bytes = kDefaultMaxBodyBytes;
  limits.max_connections = MaxConnections(relay.node.settings, relay.workers.size());
  const auto fleet = CurrentFleet(relay);
  if (fleet == nullptr) return limits;
  limits.max_header_bytes = fleet->limits.max_header_bytes;
  limits.max_body_bytes = fleet->limits.max_body_bytes;
  limits.max_header_time = ToMilliseconds(fleet->limits.header_timeout);
  limits.max_idle_time = ToMilliseconds(fleet->limits.idle_timeout);
  limits.write_grace = limits.max_idle_time;
  return limits;
}

// Returns whether the calling worker may currently refuse requests as overloaded.
auto ShouldScreen(Relay& relay) -> bool {
  const auto& worker = ThisWorker(relay);
  return direct::IsStalled(worker.overload, relay.policies.overload) ||
         direct::IsRateLimited(worker.limiter, relay.policies.admission, node::Now());
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
  // A caller whose next request would be refused retries on a new connection, where a refusal costs
  // less. Otherwise a caller of an entry that stays in rotation keeps its connection.
  handlers.should_close = [relay] {
    return relay->node.draining || relay->left_rotation || ShouldScreen(*relay);
  };
  handlers.limits = [relay] { return CurrentLimits(*relay); };
  handlers.should_screen = [relay] { return ShouldScreen(*relay); };
  handlers.screen = [relay](const net::HttpRequest& head, bool full) {
    return ScreenRequest(*relay, head, full);
  };
  handlers.check_head = [relay](const net::HttpRequest& head) { return CheckHead(*relay, head); };
  handlers.budget = relay->node.budget;
  handlers.on_limit = node::MakeLimitObserver(relay->node, "callers");
  handlers.begin_work = [relay] { return node::BeginWork(relay->node); };
  ThisWorker(*relay).caller_listener =
      std::make_shared<net::HttpListener>(net::ListenHttp(address, {}, std::move(handlers)));
  telemetry::Log(Level::info, Event::listening, {{"purpose", "callers"}, {"address", address}});
}

// Returns the region of the failure domain; empty if it is unknown.
auto RegionOf(const Relay& relay, const std::string& failure_domain) -> std::string {
  const auto found = relay.origin.regions.find(failure_domain);
  return found == relay.origin.regions.end() ? "" : found->second;
}

auto AddStatus(Relay& relay, boost::json::object& status) -> void {
  const auto now = node::Now();
  const auto fleet = CurrentFleet(relay);
  status["fleet_version"] = fleet == nullptr ? 0 : fleet->version;
  status["rotation"] = core::Name(relay.rotation.load());
  status["left_rotation"] = relay.left_rotation.load();
  boost::json::array neighbors;
  for (const auto& neighbor : ListNeighbors(relay)) {
    neighbors.push_back(
        {{"id", neighbor.id}, {"cores", neighbor.cores}, {"rotation", core::Name(neighbor.state)}});
  }
  status["neighbors"] = std::move(neighbors);
  status["confirmed_age_us"] =
      (TimeSinceBoot() - core::Duration(relay.confirmed_at_us.load())).count();
  relay.dispatch.With([&](const DispatchTable& table) {
    boost::json::array replicas;
    for (const auto& [service, members] : table.replicas.services) {
      for (const auto& [id, replica] : members) {
        const auto peer_load = table.replicas.peer_load.find(id);
        const bool has_peer_load = peer_load != table.replicas.peer_load.end();
        replicas.push_back({{"id", id},
                            {"service", service},
                            {"failure_domain", replica.listing.failure_domain},
                            {"region", RegionOf(relay, replica.listing.failure_domain)},
                            {"evacuated", direct::IsEvacuated(table.replicas, replica.listing)},
                            {"state", core::Name(replica.listing.state)},
                            {"in_flight", replica.in_flight},
                            {"unread_tokens", replica.prefill_tokens},
                            {"kept_tokens", replica.prefix_cache.tokens},
                            {"elsewhere", has_peer_load ? peer_load->second.in_flight : 0},
                            {"set_aside", replica.ejected_until > now},
                            {"told_leaving", replica.told_leaving},
                            {"closed", direct::IsClosed(replica, now)},
                            {"cold", direct::IsCold(table.replicas.cold, service, id, now)}});
      }
    }
    status["replicas"] = std::move(replicas);
    const auto& evacuated = table.replicas.evacuated_domains;
    status["evacuated_domains"] = boost::json::array(evacuated.begin(), evacuated.end());
    status["uses_cold_replicas"] = table.replicas.cold.members.enabled;
    status["cold_split_entries"] = table.replicas.cold.members.others.size() + 1;
    boost::json::array blocks;
    for (const auto& item :
         direct::ListSuspects(table.quarantine, relay.policies.quarantine, kMaxListedBlocks, now)) {
      blocks.push_back({{"block", core::FormatHex(item.block)},
                        {"crashes", item.crashes},
                        {"quarantined", item.is_quarantined}});
    }
    status["suspected_block_count"] = table.quarantine.blocks.size();
    status["suspected_blocks"] = std::move(blocks);
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

auto CountQuarantinedBlocks(Relay& relay) -> std::size_t {
  return relay.dispatch.With([&](const DispatchTable& table) {
    return direct::ListQuarantines(table.quarantine, relay.policies.quarantine, node::Now()).size();
  });
}

auto SetBudgetGauges(Relay& relay) -> void {
  const auto entries = CountEntries(relay);
  std::map<std::string, double> used;
  relay.dispatch.With([&](DispatchTable& table) {
    for (auto& [service, budget] : table.budgets) {
      const auto use =
          direct::MeasureRetryBudget(budget, relay.policies.budget, entries, node::Now());
      used[service] = use.allowed > 0 ? use.retries / use.allowed : 0;
    }
  });
  for (const auto& [service, share] : used) {
    relay.node.metrics.Set(Metric::retry_budget_used, share, service);
  }
}

auto SetColdGauge(Relay& relay) -> void {
  const auto now = node::Now();
  const auto cold = relay.dispatch.With([&](const DispatchTable& table) {
    std::size_t count = 0;
    for (const auto& [service, replicas] : table.replicas.services) {
      count += static_cast<std::size_t>(std::count_if(
          replicas.begin(), replicas.end(), [&, &service = service](const auto& item) {
            return direct::IsCold(table.replicas.cold, service, item.first, now);
          }));
    }
    return count;
  });
  relay.node.metrics.Set(Metric::cold_replicas, static_cast<double>(cold));
}

auto StartAdmin(const std::shared_ptr<Relay>& relay) -> void {
  node::AdminHandlers handlers;
  handlers.is_ready = [relay] { return IsReady(*relay); };
  handlers.add_status = [relay](boost::json::object& status) { AddStatus(*relay, status); };
  handlers.refresh_gauges = [relay] {
    const auto [waiting, evacuated] = relay->dispatch.With([](const DispatchTable& table) {
      return std::pair(table.pending.size(), table.replicas.evacuated_domains.size());
    });
    relay->node.metrics.Set(Metric::waiting, static_cast<double>(waiting));
    relay->node.metrics.Set(Metric::evacuated_domains, static_cast<double>(evacuated));
    relay->node.metrics.Set(Metric::quarantined_blocks,
                            static_cast<double>(CountQuarantinedBlocks(*relay)));
    MeasureEvidence(*relay);
    SetBudgetGauges(*relay);
    SetColdGauge(*relay);
  };
  handlers.begin_drain = [relay] { Drain(*relay); };
  node::ListenAdmin(relay->node, handlers);
}

// Assigns waiting requests to capacity that was freed here or at other entries. That happens too
// often to scan the queues each time.
auto AssignLoop(Relay& relay) -> void {
  const auto interval = direct::RoundInterval(relay.node.settings.cores.value_or(1));
  while (true) {
    WaitForCapacity(relay);
    relay.dispatch.With([&](DispatchTable& table) {
      for (const auto& [service, queue] : table.queues) AssignWaiting(relay, table, service);
    });
    runtime::SleepFor(interval);
  }
}

// Returns this entry as a member of its failure domain.
auto MakeRotationMember(const Relay& relay, core::RotationState state) -> direct::RotationMember {
  return {relay.node.settings.id, relay.node.settings.cores.value_or(1), state};
}

// Returns whether the overload counts for the rotation. Where the capacity of a service varies, an
// entry returns early if another overloaded one has to stay for it.
auto IsLagging(Relay& relay, const direct::OverloadState& overload, core::Time now) -> bool {
  if (!direct::IsOverloaded(overload, now)) return false;
  const auto& policy = relay.policies.overload;
  if (!relay.capacity_varies || direct::IsRecentlyOverloaded(overload, policy, now)) return true;
  const auto self = MakeRotationMember(relay, core::RotationState::lagging);
  return !direct::MustLaggingStay(relay.policies.rotation, self, ListNeighbors(relay));
}

// Updates whether this entry leaves new callers to others of its failure domain, and reports its
// state to them. A stalled entry serves nobody and leaves in any case.
auto UpdateRotation(Relay& relay, bool is_lagging, bool stalled) -> void {
  using core::RotationState;
  const bool is_out = relay.node.draining || !HasCurrentFleet(relay);
  const auto state = is_out       ? RotationState::out
                     : is_lagging ? RotationState::lagging
                                  : RotationState::serving;
  const auto self = MakeRotationMember(relay, state);
  const bool leaves =
      is_lagging &&
      (stalled || direct::MayLeaveRotation(relay.policies.rotation, self, ListNeighbors(relay)));
  if (relay.rotation.exchange(state) != state) WakePeers(relay);
  if (relay.left_rotation.exchange(leaves) == leaves) return;
  telemetry::Log(Level::info, Event::rotation_changed,
                 {{"state", core::Name(state)}, {"left", leaves ? "true" : "false"}});
}

// Samples how late the worker's timers run, adapts its admission rate, and ends attempts whose
// replicas are silent.
auto WatchWorker(Relay& relay) -> void {
  auto& overload = ThisWorker(relay).overload;
  auto& limiter = ThisWorker(relay).limiter;
  const double cores = relay.node.settings.cores.value_or(0);
  limiter = direct::MakeAdmissionLimiter(
      relay.policies.admission, cores / static_cast<double>(relay.workers.size()), node::Now());
  while (true) {
    const auto due = node::Now() + kWatchInterval;
    runtime::SleepFor(kWatchInterval);
    const auto now = node::Now();
    EndSilentAttempts(relay);
    const bool was_overloaded = overload.overloaded_until != core::Time{};
    direct::RecordTimerDelay(overload, relay.policies.overload, now - due, now);
    direct::UpdateAdmissionRate(limiter, relay.policies.admission, overload.mean_delay, now);
    const bool is_overloaded = direct::IsOverloaded(overload, now);
    const bool stalled = direct::IsStalled(overload, relay.policies.overload);
    if (runtime::WorkerIndex() == 0) {
      UpdateRotation(relay, IsLagging(relay, overload, now), stalled);
    }
    if (is_overloaded == was_overloaded) continue;
    if (!is_overloaded) overload.overloaded_until = {};
    telemetry::Log(is_overloaded ? Level::warning : Level::info,
                   is_overloaded ? Event::overloaded : Event::overload_ended,
                   {{"delay_us", std::to_string(overload.mean_delay.count())}});
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
    CloseExpiredConnections(ThisWorker(relay), now);
    if (runtime::WorkerIndex() != 0) continue;
    EndExpiredEvacuations(relay);
    UpdateColdSplit(relay);
    relay.dispatch.With([&](DispatchTable& table) {
      direct::RemoveExpiredReplicas(table.replicas, now);
      direct::SettleDisputes(table.replicas, now);
      direct::ForgetCold(table.replicas.cold, relay.policies.replicas.cold,
                         table.replicas.service_of, now);
      direct::ForgetLeaving(table.replicas, relay.policies.availability, now);
      direct::ForgetClosings(table.replicas, relay.policies.availability, now);
      direct::ForgetWithdrawn(table.withdrawn, relay.policies.restored, now);
      direct::RemoveOldEvidence(table.quarantine, relay.policies.quarantine, now);
      for (auto& [service, queue] : table.queues) {
        AssignWaiting(relay, table, service);
        direct::RemoveIdleAccounts(queue, relay.policies.queue, now);
      }
      ResolveUnplaceable(relay, table);
    });
  }
}

}  // namespace

auto Start(node::Node& node, const Dialect& dialect) -> std::shared_ptr<Relay> {
  return Start(node, dialect, Policies{});
}

auto Start(node::Node& node, const Dialect& dialect, const Policies& policies)
    -> std::shared_ptr<Relay> {
  auto adjusted = policies;
  adjusted.replicas.cold.overage = node.settings.cold_replicas.overage;
  adjusted.replicas.cold.margin = node.settings.cold_replicas.margin;
  auto relay = std::make_shared<Relay>(node, dialect, adjusted);
  relay->dispatch.With([&](DispatchTable& table) {
    table.replicas.cold.members.self = settings::FormatAddress(node.settings.peers);
    table.replicas.cold.members.started_at = relay->started_at;
  });
  relay->origin.failure_domain = node.settings.failure_domain;
  relay->origin.regions = node.settings.failure_domains;
  for (std::size_t i = 0; i < node.pool.Size(); ++i) {
    node::RunOnWorker(node, i, [&] {
      ListenPeers(relay);
      ListenCallers(relay);
    });
    node.pool.Post(i, [relay] { SweepLoop(*relay); });
    node.pool.Post(i, [relay] { WatchWorker(*relay); });
  }
  node.pool.Post(0, [relay] { AssignLoop(*relay); });
  node.pool.Post(0, [relay] { UsageLoop(*relay); });
  node::RunOnWorker(node, 0, [&] { StartAdmin(relay); });
  AddSeeds(*relay, node.settings.seeds);
  return relay;
}

auto Drain(Relay& relay) -> void {
  node::DrainListeners(relay.node, [&relay](std::size_t worker) {
    return relay.workers[worker].caller_listener.get();
  });
}

auto Stop(Relay& relay, node::StopScope scope) -> void {
  for (std::size_t i = 0; i < relay.workers.size(); ++i) {
    relay.node.pool.Post(i, [&relay, i, scope] { StopCalls(relay.workers[i], scope); });
  }
}

}  // namespace filbertstair::relay
