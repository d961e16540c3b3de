#include <algorithm>

#include "filbertstair/config/fanout.h"
#include "filbertstair/core/error.h"
#include "filbertstair/core/rendezvous.h"
#include "filbertstair/membership/view.h"
#include "filbertstair/node/transfer.h"
#include "state.h"

namespace filbertstair::entry {
namespace {

using telemetry::Event;
using telemetry::Level;

constexpr std::chrono::milliseconds kConnectTimeout{1000};
constexpr std::chrono::milliseconds kReconnectDelay{200};
// Interval between evaluations of suspicion. Several fit into the shortest time until suspicion.
constexpr std::chrono::milliseconds kEvaluateInterval{250};
// Limit of the endpoint processes that one entry links to.
constexpr std::size_t kMaxEndpointLinks = 64;
// Budget for service counters sent over all links of an entry.
constexpr std::size_t kServiceBytesPerSecond = 2500;
// Minimum time between Demand messages that only update counts.
constexpr core::Duration kDemandInterval = std::chrono::milliseconds(100);
// An endpoint that knows of fewer waiting requests than this may grant to all of them before the
// next message.
constexpr std::uint32_t kLowDemand = 2;

using DemandKey = std::pair<std::string, std::string>;

// State of one control stream to an endpoint process, accessed by the fibers of that stream only.
struct EndpointControl {
  // Estimate of the waiting requests that the endpoint knows of: the last Demand message less the
  // grants received since.
  std::map<DemandKey, std::uint32_t> estimated;
  core::Time demand_sent_at{};
  node::ServiceExchange exchange;
};

auto ServicesWithPool(const node::Snapshot& snapshot, const std::string& pool)
    -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& [name, service] : snapshot.services) {
    if (document::FindPool(*service, pool) != nullptr) out.push_back(name);
  }
  return out;
}

// Returns whether the current demand must be sent at once because the endpoint may run out of known
// requests or may grant slots to requests that no longer wait.
auto IsDemandUrgent(const std::map<DemandKey, std::uint32_t>& estimated,
                    const std::map<DemandKey, std::uint32_t>& actual) -> bool {
  for (const auto& [key, count] : actual) {
    const auto found = estimated.find(key);
    const std::uint32_t reported = found == estimated.end() ? 0 : found->second;
    if (reported < count && reported < kLowDemand) return true;
  }
  return std::any_of(estimated.begin(), estimated.end(), [&](const auto& row) {
    return row.second > 0 && !actual.contains(row.first);
  });
}

auto SendDemand(Entry& entry, EndpointControl& control, const wire::Hello& peer,
                node::Outbox& outbox) -> void {
  const auto services = ServicesWithPool(*node::CurrentSnapshot(entry.node), peer.pool);
  const auto waiting = entry.queue.With([&](const QueueState& state) {
    return routing::CountWaitingFor(state.queues, peer.id, services);
  });
  std::map<DemandKey, std::uint32_t> actual;
  for (const auto& row : waiting) actual[{row.service, row.workspace}] = row.count;
  if (actual == control.estimated) return;
  const auto now = node::Now();
  if (!IsDemandUrgent(control.estimated, actual) &&
      now - control.demand_sent_at < kDemandInterval) {
    return;
  }
  control.demand_sent_at = now;
  control.estimated = actual;
  wire::Demand message;
  for (const auto& row : waiting) message.items.push_back({row.service, row.workspace, row.count});
  outbox.Push(std::move(message));
}

// Returns whether this entry sends service totals to `endpoint`. Each endpoint has one such entry,
// chosen by rendezvous hashing over the live entries.
auto IsFeeder(Entry& entry, const std::string& endpoint) -> bool {
  const auto entries = entry.node.members.With([](const membership::MemberTable& table) {
    std::vector<std::string> live;
    for (auto& id : membership::ListMembers(table, core::Role::entry)) {
      if (membership::StateOf(table, id) == membership::MemberState::live) live.push_back(id);
    }
    return live;
  });
  const auto owner = core::RendezvousOwner("feeder/" + endpoint, entries);
  return owner == entries.size() || entries[owner] == entry.node.settings.id;
}

auto ServiceByteBudget(Entry& entry) -> std::size_t {
  const std::size_t links = entry.node.links.With(
      [](const node::LinkTable& table) { return std::max<std::size_t>(1, table.peers.size()); });
  return kServiceBytesPerSecond / links;
}

// Wakes the requests that only this endpoint may serve, so that they check whether it still admits
// requests.
auto WakeOwnedRequests(const QueueState& state, const std::string& endpoint) -> void {
  for (const auto& [key, queue] : state.queues.queues) {
    if (key.owner != endpoint) continue;
    for (const auto& waiter : queue) {
      const auto found = state.waiting.find(waiter.id);
      if (found != state.waiting.end()) found->second->changed.Notify();
    }
  }
}

auto HandleLoad(Entry& entry, const wire::Hello& peer, const wire::Load& load) -> void {
  entry.queue.With([&](QueueState& state) {
    const auto link = state.endpoints.find(peer.id);
    if (link == state.endpoints.end() || link->second.incarnation != peer.incarnation) return;
    link->second.free_slots = load.free;
    link->second.draining = load.draining;
    if (load.draining) WakeOwnedRequests(state, peer.id);
  });
  entry.node.members.With([&](membership::MemberTable& table) {
    membership::RecordMessage(table, peer.id, peer.incarnation, load.draining, node::Now());
  });
}

auto EndpointHandlers(Entry& entry, const std::shared_ptr<LinkTask>& task)
    -> node::ControlHandlers {
  const auto control = std::make_shared<EndpointControl>();
  node::ControlHandlers handlers;
  handlers.accept_peer = [&entry, control, task](const wire::Hello& peer,
                                                 const std::shared_ptr<node::Outbox>& outbox) {
    if (peer.id != task->id || peer.role != core::Role::endpoint) return false;
    task->outbox = outbox;
    control->exchange.link.feed = shares::Feed::totals;
    control->exchange.link.incarnation = peer.incarnation;
    control->exchange.link.peer = entry.shares.With([&](shares::ShareTable& table) {
      const auto source = shares::InternSource(table, peer.id);
      shares::MarkSourceLinked(table, source);
      return source;
    });
    entry.queue.With([&](QueueState& state) {
      state.endpoints[peer.id] = {peer.incarnation, outbox, 0, false};
    });
    return true;
  };
  handlers.on_message = [&entry, control](const wire::Hello& peer,
                                          const wire::ControlMessage& message) {
    if (const auto* load = std::get_if<wire::Load>(&message)) {
      HandleLoad(entry, peer, *load);
    } else if (const auto* grant = std::get_if<wire::Grant>(&message)) {
      auto& estimate = control->estimated[{grant->service, grant->workspace}];
      if (estimate > 0) --estimate;
      HandleGrant(entry, peer.id, *grant);
    } else if (const auto* service = std::get_if<wire::Service>(&message)) {
      HandleServiceUpdate(entry, control->exchange, peer, *service);
    }
  };
  handlers.push_update = [&entry, control](const wire::Hello& peer, node::Outbox& outbox,
                                           bool period_over) {
    SendDemand(entry, *control, peer, outbox);
    if (period_over && IsFeeder(entry, peer.id)) {
      SendServiceUpdate(entry, control->exchange, outbox, ServiceByteBudget(entry));
    }
  };
  handlers.on_close = [&entry](const wire::Hello& peer) {
    entry.queue.With([&](QueueState& state) {
      const auto link = state.endpoints.find(peer.id);
      if (link != state.endpoints.end() && link->second.incarnation == peer.incarnation) {
        state.endpoints.erase(link);
        WakeOwnedRequests(state, peer.id);
      }
    });
  };
  return handlers;
}

auto PeerHandlers(Entry& entry) -> node::ControlHandlers {
  const auto exchange = std::make_shared<node::ServiceExchange>();
  exchange->link.feed = shares::Feed::rows;
  node::ControlHandlers handlers;
  handlers.accept_peer = [&entry](const wire::Hello& peer, const std::shared_ptr<node::Outbox>&) {
    return peer.role == core::Role::entry && peer.id != entry.node.settings.id;
  };
  handlers.on_message = [&entry, exchange](const wire::Hello& peer,
                                           const wire::ControlMessage& message) {
    if (const auto* service = std::get_if<wire::Service>(&message)) {
      HandleServiceUpdate(entry, *exchange, peer, *service);
    }
  };
  handlers.push_update = [&entry, exchange](const wire::Hello&, node::Outbox& outbox,
                                            bool period_over) {
    if (period_over) SendServiceUpdate(entry, *exchange, outbox, ServiceByteBudget(entry));
  };
  return handlers;
}

// Keeps a link open, reconnecting after failures, until the task is stopped.
auto RunLink(Entry& entry, const std::shared_ptr<LinkTask>& task) -> void {
  while (!task->stopped) {
    try {
      const auto connection = net::Connect(task->address, kConnectTimeout);
      const auto stream = connection->StartStream(std::string(node::kControlPath));
      node::RunControl(
          entry.node, stream,
          task->role == core::Role::endpoint ? EndpointHandlers(entry, task) : PeerHandlers(entry));
    } catch (const core::Error& error) {
      node::LogError(Level::debug, Event::peer_lost, error);
      entry.node.members.With([&](membership::MemberTable& table) {
        membership::RecordLinkDown(table, task->id, 0, node::Now());
      });
    }
    if (!task->stopped) runtime::SleepFor(kReconnectDelay);
  }
}

using LinkTasks = std::map<std::string, std::shared_ptr<LinkTask>>;

auto StopLink(LinkTask& task) -> void {
  task.stopped = true;
  if (const auto outbox = task.outbox.load()) outbox->Close();
}

auto StartLink(Entry& entry, LinkTasks& tasks, const membership::Vm& vm) -> void {
  auto& task = tasks[vm.id];
  if (task && task->address == vm.address) return;
  if (task) StopLink(*task);
  task = std::make_shared<LinkTask>();
  task->id = vm.id;
  task->address = vm.address;
  task->role = vm.role;
  const auto worker = std::hash<std::string>{}(vm.id);
  entry.node.pool.Post(worker, [&entry, task = task] { RunLink(entry, task); });
}

// Returns the VMs that this entry should be linked to: endpoints of its view and a selection of
// other entries. `links_per_endpoint` carries the previous value in and the new one out.
auto SelectLinks(Entry& entry, const node::Snapshot& snapshot, std::size_t& links_per_endpoint)
    -> std::vector<membership::Vm> {
  const auto& self = entry.node.settings.id;
  std::vector<membership::Vm> endpoints;
  std::vector<membership::Vm> entries;
  for (const auto& vm : snapshot.vms.vms) {
    (vm.role == core::Role::endpoint ? endpoints : entries).push_back(vm);
  }
  std::vector<std::string> endpoint_ids;
  std::vector<std::string> entry_ids;
  std::vector<config::Peer> peers;
  endpoint_ids.reserve(endpoints.size());
  for (const auto& vm : endpoints) endpoint_ids.push_back(vm.id);
  entry.node.members.With([&](const membership::MemberTable& table) {
    for (const auto& vm : entries) {
      const auto state = membership::StateOf(table, vm.id);
      entry_ids.push_back(vm.id);
      peers.push_back({vm.id, vm.region, state == membership::MemberState::suspected});
    }
  });
  links_per_endpoint = membership::LinksPerEndpoint(entry_ids.size(), endpoint_ids.size(),
                                                    kMaxEndpointLinks, links_per_endpoint);
  std::vector<membership::Vm> wanted;
  for (const auto i : membership::SelectLinkedEndpoints(self, entry_ids, endpoint_ids,
                                                        links_per_endpoint, kMaxEndpointLinks)) {
    wanted.push_back(endpoints[i]);
  }
  for (const auto i : config::ChoosePeerLinks(self, peers, {})) wanted.push_back(entries[i]);
  return wanted;
}

auto ReconcileLinks(Entry& entry, const node::Snapshot& snapshot, LinkTasks& tasks,
                    std::size_t& links_per_endpoint) -> void {
  const auto wanted = SelectLinks(entry, snapshot, links_per_endpoint);
  std::set<std::string> ids;
  for (const auto& vm : wanted) {
    ids.insert(vm.id);
    StartLink(entry, tasks, vm);
  }
  for (auto it = tasks.begin(); it != tasks.end();) {
    if (ids.contains(it->first)) {
      ++it;
      continue;
    }
    StopLink(*it->second);
    it = tasks.erase(it);
  }
}

}  // namespace

auto NotifyDemandChange(Entry& entry) -> void {
  entry.queue.With([](const QueueState& state) {
    for (const auto& [id, link] : state.endpoints) link.outbox->RequestUpdate();
  });
}

auto HandleGrant(Entry& entry, const std::string& endpoint, const wire::Grant& grant) -> void {
  entry.queue.With([&](QueueState& state) {
    const auto id =
        routing::TakeForGrant(state.queues, grant.service, grant.workspace, endpoint, node::Now());
    const auto waiting = id ? state.waiting.find(*id) : state.waiting.end();
    if (waiting != state.waiting.end()) {
      waiting->second->target = AttemptTarget{endpoint, grant.grant, grant.granter};
      waiting->second->changed.Notify();
      return;
    }
    ReturnGrant(state, endpoint, {grant.grant, grant.granter, grant.service, grant.workspace});
  });
}

auto ReturnGrant(const QueueState& state, const std::string& endpoint,
                 const wire::GrantReturn& message) -> void {
  const auto link = state.endpoints.find(endpoint);
  if (link != state.endpoints.end()) link->second.outbox->Push(message);
}

auto LinkLoop(Entry& entry) -> void {
  LinkTasks tasks;
  std::size_t links_per_endpoint = 0;
  std::shared_ptr<const node::Snapshot> linked;
  while (true) {
    const auto changes = entry.node.members.With([](membership::MemberTable& table) {
      return membership::EvaluateSuspicion(table, node::Now());
    });
    node::LogMemberChanges(changes);
    // The view depends only on the VM list and on suspicion. Computing it takes 3.6 ms at 10,000
    // endpoints, too long for every evaluation.
    auto snapshot = node::CurrentSnapshot(entry.node);
    if (snapshot != linked || !changes.empty()) {
      ReconcileLinks(entry, *snapshot, tasks, links_per_endpoint);
      linked = std::move(snapshot);
    }
    entry.links_changed.WaitUntil(std::chrono::steady_clock::now() + kEvaluateInterval);
  }
}

auto ServePeerStream(Entry& entry, const std::shared_ptr<net::Stream>& stream) -> void {
  try {
    if (stream->Path() == node::kControlPath) {
      node::RunControl(entry.node, stream, PeerHandlers(entry));
    } else if (stream->Path() == node::kTransferPath) {
      node::ServeConfiguration(entry.node, *stream);
    }
  } catch (const core::Error& error) {
    node::LogError(Level::debug, Event::peer_lost, error);
  }
}

}  // namespace filbertstair::entry
