#include "filbertstair/node/control.h"

#include "filbertstair/node/exchange.h"
#include "state.h"

namespace filbertstair::endpoint {
namespace {

using telemetry::Metric;

// Budget for service counters that an endpoint process sends to all its entries.
constexpr std::size_t kServiceBytesPerSecond = 1500;

// State of one control stream, accessed by the fibers of that stream only.
struct ControlState {
  wire::Load last_load;
  bool has_sent_load = false;
  node::ServiceExchange exchange;
  std::uint64_t stream = 0;
};

auto CurrentLoad(Endpoint& endpoint) -> wire::Load {
  return endpoint.admission.With([&](const AdmissionTable& table) {
    const auto& slots = table.admission.slots;
    const bool has_demand = admission::HasDemand(table.admission.demand);
    return wire::Load{slots.limit, has_demand ? 0 : admission::FreeSlots(slots),
                      endpoint.node.draining || endpoint.replica_leaving};
  });
}

auto SendLoad(Endpoint& endpoint, ControlState& control, node::Outbox& outbox) -> void {
  const auto load = CurrentLoad(endpoint);
  if (control.has_sent_load && load == control.last_load) return;
  control.has_sent_load = true;
  control.last_load = load;
  outbox.Push(load);
}

// Sends this process's service counters within the byte budget, the largest unreported changes
// first.
auto SendService(Endpoint& endpoint, ControlState& control, node::Outbox& outbox) -> void {
  const std::size_t entries = endpoint.admission.With(
      [](const AdmissionTable& table) { return std::max<std::size_t>(1, table.entries.size()); });
  auto message = endpoint.shares.With([&](shares::ShareTable& shares) {
    shares::AccrueSlotTime(shares, node::Now());
    return node::SelectServiceUpdates(shares, control.exchange, kServiceBytesPerSecond / entries);
  });
  if (!message.rows.empty()) outbox.Push(std::move(message));
}

auto HandleDemand(Endpoint& endpoint, const wire::Hello& peer, const wire::Demand& demand) -> void {
  std::vector<admission::DemandItem> items;
  for (const auto& item : demand.items) {
    items.push_back({item.service, item.workspace, item.waiting});
  }
  endpoint.admission.With([&](AdmissionTable& table) {
    admission::ReplaceDemand(table.admission.demand, peer.id, peer.incarnation, items);
  });
  DispatchGrants(endpoint);
}

auto HandleGrantReturn(Endpoint& endpoint, const wire::Hello& peer,
                       const wire::GrantReturn& message) -> void {
  const admission::GrantClaim claim{message.grant,    message.granter, peer.id,
                                    peer.incarnation, message.service, message.workspace};
  endpoint.admission.With([&](AdmissionTable& table) {
    auto& state = table.admission;
    if (!admission::ReturnGrant(state.grants, state.slots, state.demand, claim, node::Now())) {
      return;
    }
    admission::Grant ended;
    ended.id = message.grant;
    RefundGrants(endpoint, table, {ended});
  });
  endpoint.node.metrics.Count(Metric::grants, "returned");
  DispatchGrants(endpoint);
}

auto HandleTotals(Endpoint& endpoint, ControlState& control, const wire::Service& message) -> void {
  if (message.feed != static_cast<std::uint32_t>(shares::Feed::totals)) return;
  endpoint.shares.With([&](shares::ShareTable& shares) {
    for (const auto& row : message.rows) {
      const auto* account = node::ResolveAccount(control.exchange, row);
      if (account == nullptr) continue;
      shares::MergeOthersTotal(shares, shares::InternWorkspace(shares, *account), row.counter,
                               row.running);
    }
  });
}

auto OpenEntryLink(Endpoint& endpoint, ControlState& control, const wire::Hello& peer,
                   const std::shared_ptr<node::Outbox>& outbox) -> bool {
  return endpoint.admission.With([&](AdmissionTable& table) {
    control.stream = ++table.last_stream;
    const auto ended = admission::OpenEntryStream(table.admission, peer.id, peer.incarnation,
                                                  control.stream, peer.region);
    if (!ended) return false;
    RefundGrants(endpoint, table, *ended);
    table.entries[peer.id] = {outbox, control.stream};
    return true;
  });
}

auto CloseEntryLink(Endpoint& endpoint, const ControlState& control, const wire::Hello& peer)
    -> void {
  endpoint.admission.With([&](AdmissionTable& table) {
    RefundGrants(endpoint, table,
                 admission::CloseEntryStream(table.admission, peer.id, control.stream));
    const auto found = table.entries.find(peer.id);
    if (found != table.entries.end() && found->second.stream == control.stream) {
      table.entries.erase(found);
    }
  });
  DispatchGrants(endpoint);
}

}  // namespace

auto NotifyLoadChange(Endpoint& endpoint) -> void {
  endpoint.admission.With([](const AdmissionTable& table) {
    for (const auto& [id, link] : table.entries) link.outbox->RequestUpdate();
  });
}

auto ServeControlStream(Endpoint& endpoint, const std::shared_ptr<net::Stream>& stream) -> void {
  const auto control = std::make_shared<ControlState>();
  control->exchange.link.feed = shares::Feed::own;
  node::ControlHandlers handlers;
  handlers.accept_peer = [&endpoint, control](const wire::Hello& peer,
                                              const std::shared_ptr<node::Outbox>& outbox) {
    return peer.role == core::Role::entry && OpenEntryLink(endpoint, *control, peer, outbox);
  };
  handlers.on_message = [&endpoint, control](const wire::Hello& peer,
                                             const wire::ControlMessage& message) {
    if (const auto* demand = std::get_if<wire::Demand>(&message)) {
      HandleDemand(endpoint, peer, *demand);
    } else if (const auto* returned = std::get_if<wire::GrantReturn>(&message)) {
      HandleGrantReturn(endpoint, peer, *returned);
    } else if (const auto* service = std::get_if<wire::Service>(&message)) {
      HandleTotals(endpoint, *control, *service);
    }
  };
  handlers.push_update = [&endpoint, control](const wire::Hello&, node::Outbox& outbox,
                                              bool period_over) {
    SendLoad(endpoint, *control, outbox);
    if (period_over) SendService(endpoint, *control, outbox);
  };
  handlers.on_close = [&endpoint, control](const wire::Hello& peer) {
    CloseEntryLink(endpoint, *control, peer);
  };
  node::RunControl(endpoint.node, stream, handlers);
}

}  // namespace filbertstair::endpoint
