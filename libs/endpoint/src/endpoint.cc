#include "filbertstair/endpoint/endpoint.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "filbertstair/core/error.h"
#include "filbertstair/net/address.h"
#include "filbertstair/net/h2.h"
#include "filbertstair/node/admin.h"
#include "filbertstair/node/control.h"
#include "filbertstair/node/start.h"
#include "state.h"

namespace filbertstair::endpoint {
namespace {

using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

// Limit of running requests until a document that names this process's pool is applied.
constexpr std::uint32_t kInitialLimit = 1;
// Time after the start during which the service totals from entries are incomplete: three exchange
// periods.
constexpr std::chrono::seconds kShareWarmUpTime{3};
constexpr std::chrono::seconds kPoolMoveGracePeriod{1};
constexpr std::chrono::seconds kLimitUpdateInterval{1};

auto ServeStream(Endpoint& endpoint, const std::shared_ptr<net::Stream>& stream) -> void {
  try {
    if (stream->Path() == node::kControlPath) {
      ServeControlStream(endpoint, stream);
    } else if (stream->Path() == node::kRequestPath) {
      ServeRequestStream(endpoint, stream);
    }
  } catch (const core::Error& error) {
    node::LogError(Level::debug, Event::peer_lost, error);
    stream->Reset();
  }
}

// Expires grants at their expiry time. Sleeps while there are none.
auto ExpireLoop(Endpoint& endpoint) -> void {
  while (true) {
    const auto next = endpoint.admission.With([](const AdmissionTable& table) {
      return admission::NextGrantExpiry(table.admission.grants);
    });
    if (!next) {
      endpoint.grants_changed.Wait();
      continue;
    }
    endpoint.grants_changed.WaitUntil(*next);
    const auto expired = endpoint.admission.With([&](AdmissionTable& table) {
      auto grants = admission::ExpireGrantsAndRecords(table.admission, table.policy, ReadClocks());
      RefundGrants(endpoint, table, grants);
      return grants;
    });
    for (const auto& grant : expired) {
      endpoint.node.metrics.Count(Metric::grants, "expired");
      telemetry::Log(Level::warning, Event::grant_expired,
                     {{"peer", grant.entry}, {"workspace", grant.demand.workspace}});
    }
    if (!expired.empty()) DispatchGrants(endpoint);
  }
}

// Updates the limit of running requests about once per second while requests are in flight.
auto LimitUpdateLoop(Endpoint& endpoint) -> void {
  while (true) {
    if (endpoint.node.in_flight.Count() == 0) endpoint.work_started.Wait();
    runtime::SleepFor(kLimitUpdateInterval);
    const bool changed = endpoint.admission.With([&](AdmissionTable& table) {
      auto& slots = table.admission.slots;
      const auto limit = admission::UpdateLimit(table.limit_policy, table.limit, node::Now());
      if (limit == slots.limit) return false;
      slots.limit = limit;
      StartStagedRequests(table);
      return true;
    });
    if (!changed) continue;
    telemetry::Log(Level::debug, Event::limit_changed, {});
    DispatchGrants(endpoint);
    NotifyLoadChange(endpoint);
  }
}

auto ServiceOfPool(const node::Snapshot& snapshot, const std::string& pool)
    -> std::shared_ptr<const document::Service> {
  for (const auto& [name, service] : snapshot.services) {
    if (document::FindPool(*service, pool) != nullptr) return service;
  }
  return nullptr;
}

auto AddStatus(Endpoint& endpoint, boost::json::object& status) -> void {
  endpoint.admission.With([&](const AdmissionTable& table) {
    const auto& slots = table.admission.slots;
    status["limit"] = slots.limit;
    status["running"] = slots.running;
    status["staged"] = slots.staged;
    status["granted"] = slots.granted;
    boost::json::array waiting;
    for (const auto& row : admission::ListGrantCandidates(table.admission.demand)) {
      waiting.push_back({{"service", row.service},
                         {"workspace", row.workspace},
                         {"region", row.region},
                         {"waiting", row.waiting}});
    }
    status["demand"] = std::move(waiting);
  });
  endpoint.shares.With([&](const shares::ShareTable& shares) {
    boost::json::array accounts;
    for (shares::Workspace i = 0; i < shares.rows.size(); ++i) {
      accounts.push_back({{"account", shares.rows[i].name},
                          {"own_us", shares.rows[i].own_counter},
                          {"fleet_us", shares::FleetTotal(shares.rows[i])},
                          {"level_us", shares::EffectiveLevel(shares, i)}});
    }
    status["shares"] = std::move(accounts);
  });
}

auto SetGauges(Endpoint& endpoint) -> void {
  auto& metrics = endpoint.node.metrics;
  endpoint.admission.With([&](const AdmissionTable& table) {
    const auto& slots = table.admission.slots;
    metrics.Set(Metric::slots, slots.limit);
    metrics.Set(Metric::running, slots.running);
    metrics.Set(Metric::staged, slots.staged);
  });
}

// Returns whether this VM is leaving: its row says so, or its row was removed. A VM that was never
// listed is new, because the list lags.
auto IsListedAsLeaving(Endpoint& endpoint, const node::Snapshot& snapshot) -> bool {
  for (const auto& vm : snapshot.vms.vms) {
    if (vm.id != endpoint.node.settings.id) continue;
    endpoint.was_listed = true;
    return vm.state == membership::VmState::leaving;
  }
  return endpoint.was_listed;
}

// Returns whether a document named this process's pool before and none does now.
auto IsPoolRemoved(Endpoint& endpoint, const node::Snapshot& snapshot) -> bool {
  const bool named = ServiceOfPool(snapshot, endpoint.node.settings.pool) != nullptr;
  if (named) endpoint.pool_was_named = true;
  return endpoint.pool_was_named && !named;
}

// Begins to drain if this VM is leaving or its pool was removed. A removed pool is checked again
// after kPoolMoveGracePeriod, because a pool that moves to another document is briefly in neither.
auto DrainIfLeaving(Endpoint& endpoint, const node::Snapshot& snapshot) -> void {
  const bool synced =
      endpoint.node.config.With([](const node::ConfigState& state) { return state.synced; });
  if (!synced) return;
  if (IsListedAsLeaving(endpoint, snapshot)) {
    Drain(endpoint);
  } else if (IsPoolRemoved(endpoint, snapshot)) {
    runtime::Spawn([&endpoint] {
      runtime::SleepFor(kPoolMoveGracePeriod);
      if (IsPoolRemoved(endpoint, *node::CurrentSnapshot(endpoint.node))) Drain(endpoint);
    });
  }
}

auto ListenForPeers(const std::shared_ptr<Endpoint>& endpoint) -> void {
  const auto address = settings::FormatAddress(endpoint->node.settings.peers);
  net::ListenStreams(address, [endpoint](const std::shared_ptr<net::Stream>& stream) {
    ServeStream(*endpoint, stream);
  });
  telemetry::Log(Level::info, Event::listening, {{"purpose", "peers"}, {"address", address}});
}

auto StartAdmin(const std::shared_ptr<Endpoint>& endpoint) -> void {
  node::AdminHandlers handlers;
  handlers.ready = [endpoint] {
    return !endpoint->node.draining && node::CurrentSnapshot(endpoint->node)->configured;
  };
  handlers.status = [endpoint](boost::json::object& status) { AddStatus(*endpoint, status); };
  handlers.refresh = [endpoint] { SetGauges(*endpoint); };
  handlers.drain = [endpoint] { Drain(*endpoint); };
  node::ListenAdmin(endpoint->node, handlers);
}

// Applies a pool's slot bounds. The search for the limit restarts only if they changed.
auto SetSlotBounds(AdmissionTable& table, const document::Pool& pool) -> void {
  auto& policy = table.limit_policy;
  if (policy.min_slots == pool.min_slots && policy.max_slots == pool.max_slots) return;
  policy.min_slots = pool.min_slots;
  policy.max_slots = pool.max_slots;
  table.limit = admission::MakeLimitState(policy, node::Now());
  table.admission.slots.limit = pool.max_slots;
}

}  // namespace

auto ReadClocks() -> admission::ClockReading {
  return {node::Now(), std::chrono::time_point_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now())};
}

auto AccountName(const std::string& service, const std::string& workspace) -> std::string {
  return service + "/" + workspace;
}

namespace {

auto ToMilliseconds(core::Duration duration) -> std::chrono::milliseconds {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

auto ApplyToAdmission(Endpoint& endpoint, AdmissionTable& table, const node::Snapshot& snapshot,
                      const document::Service* own) -> void {
  auto& keys = table.policy.keys;
  if (own != nullptr) {
    keys.lifetime = ToMilliseconds(own->idempotency.protect);
    keys.quiet_period = ToMilliseconds(own->idempotency.quiet);
    keys.max_skew = ToMilliseconds(own->idempotency.max_skew);
    SetSlotBounds(table, *document::FindPool(*own, endpoint.node.settings.pool));
  }
  const auto now = ReadClocks();
  for (const auto& [name, service] : snapshot.services) {
    auto& history = table.admission.owner_histories[name];
    history.self = endpoint.node.settings.id;
    admission::ObserveEndpoints(history, keys, node::LiveEndpointIds(snapshot, *service), now.wall);
  }
  StartStagedRequests(table);
}

auto ApplyToShares(Endpoint& endpoint, const node::Snapshot& snapshot, const document::Service& own)
    -> void {
  const auto endpoints = node::LiveEndpoints(snapshot, own).size();
  endpoint.shares.With([&](shares::ShareTable& shares) {
    shares.settings.link_price = static_cast<double>(own.link_price.count());
    shares.settings.max_lead = static_cast<double>(own.max_lead.count());
    shares.settings.peer_count = endpoints > 0 ? static_cast<double>(endpoints - 1) : 0;
  });
}

}  // namespace

auto ApplyConfiguration(Endpoint& endpoint) -> void {
  // The configuration stays locked, so that if two workers apply different versions, the newer one
  // is applied last.
  const auto snapshot = endpoint.node.config.With([&](const node::ConfigState& state) {
    const auto own = ServiceOfPool(*state.snapshot, endpoint.node.settings.pool);
    endpoint.admission.With([&](AdmissionTable& table) {
      ApplyToAdmission(endpoint, table, *state.snapshot, own.get());
    });
    if (own) ApplyToShares(endpoint, *state.snapshot, *own);
    return state.snapshot;
  });
  DrainIfLeaving(endpoint, *snapshot);
  DispatchGrants(endpoint);
  NotifyLoadChange(endpoint);
}

auto Start(node::Node& node) -> std::shared_ptr<Endpoint> {
  auto endpoint = std::make_shared<Endpoint>(node);
  endpoint->admission.With([&](AdmissionTable& table) {
    table.admission = admission::MakeAdmissionState(node.incarnation, kInitialLimit, ReadClocks());
    table.last_contact = node::Now();
    table.limit_policy = {.min_slots = kInitialLimit, .max_slots = kInitialLimit};
    table.limit = admission::MakeLimitState(table.limit_policy, node::Now());
  });
  endpoint->shares.With([&](shares::ShareTable& shares) {
    shares.salt = std::hash<std::string>{}(node.settings.id);
    shares.warming_up = true;
  });
  node.on_contact = [endpoint] {
    endpoint->admission.With([](AdmissionTable& table) { UpdateContact(table, true); });
  };
  node.on_configuration = [endpoint] { ApplyConfiguration(*endpoint); };
  net::CheckAddressAvailable(settings::FormatAddress(node.settings.peers));
  net::CheckAddressAvailable(settings::FormatAddress(node.settings.admin));
  for (std::size_t i = 0; i < node.pool.Size(); ++i) {
    node::RunOnWorker(node, i, [&] { ListenForPeers(endpoint); });
  }
  node::RunOnWorker(node, 0, [&] { StartAdmin(endpoint); });
  node.pool.Post(0, [endpoint] { ExpireLoop(*endpoint); });
  node.pool.Post(0, [endpoint] { LimitUpdateLoop(*endpoint); });
  node.pool.Post(0, [endpoint] {
    runtime::SleepFor(kShareWarmUpTime);
    endpoint->shares.With([](shares::ShareTable& shares) { shares.warming_up = false; });
  });
  return endpoint;
}

auto Drain(Endpoint& endpoint) -> void {
  if (!node::BeginDrain(endpoint.node)) return;
  endpoint.admission.With([&](AdmissionTable& table) {
    RefundGrants(endpoint, table, admission::DrainAdmission(table.admission));
  });
  NotifyLoadChange(endpoint);
}

auto CancelRequests(Endpoint& endpoint, node::StopScope scope) -> void {
  for (std::size_t i = 0; i < endpoint.workers.size(); ++i) {
    endpoint.node.pool.Post(
        i, [&endpoint, i, scope] { CancelWorkerRequests(endpoint.workers[i], scope); });
  }
}

}  // namespace filbertstair::endpoint
