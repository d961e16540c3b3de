#include <algorithm>
#include <cmath>
#include <utility>

#include "filbertstair/core/address.h"
#include "filbertstair/core/error.h"
#include "filbertstair/direct/links.h"
#include "filbertstair/net/h2.h"
#include "filbertstair/node/control.h"
#include "state.h"

namespace filbertstair::relay {
namespace {

using telemetry::Event;
using telemetry::Level;

constexpr std::chrono::milliseconds kConnectTimeout{1000};
constexpr core::Duration kReconnectWait = std::chrono::milliseconds(500);
// Time without a message after which a link is closed. The peer sends at least every second, and a
// connection may go silent without being closed.
constexpr core::Duration kSilenceTimeout = std::chrono::milliseconds(2500);
// Time for which connecting to an address is retried without success before the address is removed,
// unless it is a seed.
constexpr core::Duration kForgetPeerAfter = std::chrono::seconds(30);
// Time for which an entry of the failure domain whose link was closed counts as out of rotation.
// The balancer counts it until its VM is replaced.
constexpr core::Duration kLostNeighborTime = std::chrono::seconds(60);
// Minimum time between two messages about accounts; shares are compared over seconds.
constexpr core::Duration kMinAccountInterval = std::chrono::milliseconds(100);
// Minimum change of an account's recent service that is sent, in tokens or requests.
constexpr double kMinAccountChange = 500;
// Maximum load messages that one entry sends per second over all its links. Without this limit, at
// one message per 20 ms and link, they took a fifth to a third of the processor time of 27 and 31
// entries.
constexpr int kMaxMessagesPerSecond = 250;
// Maximum entries that one entry is linked to. Load at further entries is known only from the
// replicas' own reports. The message rate is limited for all links together, so more links cost
// memory and delay the updates to each peer.
constexpr std::size_t kMaxLinks = 48;
// Maximum reported addresses that are stored to count the entries, about three times those of the
// two-year scale; a faulty peer may report any number.
constexpr std::size_t kMaxReportedAddresses = 4096;

// Limits on the clients of the listener for other entries. Each entry has at most kMaxLinks links
// to others and as many from others on average; the rest is for the uneven spread.
constexpr std::size_t kMaxPeerConnections = 256;
// A published object takes up to 1 MB, the state of thousands of replicas less.
constexpr std::size_t kMaxPeerMessageBytes = std::size_t{4} << 20;
// An entry opens one stream on each connection, at once.
constexpr std::uint32_t kMaxPeerStreams = 8;
constexpr std::chrono::milliseconds kMaxStreamlessTime{5000};

// State that was last sent to a linked entry. Used by the link's own fibers.
struct SentState {
  std::map<std::string, direct::ReplicaLoad> replicas;
  struct Account {
    double used = 0;
    bool waiting = false;
  };
  std::map<std::pair<std::string, std::string>, Account> accounts;
  core::Time accounts_sent_at{};
  core::RotationState rotation = core::RotationState::serving;
  // Value of DispatchTable::prefix_update_count at the last message.
  std::uint64_t prefix_update_count = 0;
  // Value of DispatchTable::quarantine_update_count at the last message; empty before the first.
  std::optional<std::uint64_t> quarantine_update_count;
  // Starts of replicas that were reported as leaving, by id.
  std::map<std::string, std::int64_t> leaving;
  core::Time received_at{};
};

auto CollectReplicaLoads(const DispatchTable& table, SentState& sent, wire::EntryState& message)
    -> void {
  for (const auto& [service, replicas] : table.replicas.services) {
    for (const auto& [id, replica] : replicas) {
      const direct::ReplicaLoad load{replica.in_flight, replica.prefill_tokens};
      auto& last = sent.replicas[id];
      if (load == last) continue;
      last = load;
      message.replicas.push_back({id, load.in_flight, load.prefill_tokens});
    }
  }
}

auto CollectPrefixUpdates(const DispatchTable& table, SentState& sent, wire::EntryState& message)
    -> void {
  const auto size = table.prefix_updates.size();
  const auto unsent =
      std::min<std::uint64_t>(table.prefix_update_count - sent.prefix_update_count, size);
  for (auto i = size - unsent; i < size; ++i) {
    const auto& item = table.prefix_updates[i];
    message.cached_blocks.push_back({item.replica, item.block.key, item.block.tokens});
  }
  sent.prefix_update_count = table.prefix_update_count;
}

auto CollectLeaving(const DispatchTable& table, SentState& sent, wire::EntryState& message)
    -> void {
  const auto& leaving = table.replicas.leaving;
  std::erase_if(sent.leaving, [&](const auto& item) { return !leaving.contains(item.first); });
  for (const auto& [id, replica] : leaving) {
    const auto [reported, is_new] = sent.leaving.emplace(id, replica.started_ms);
    if (!is_new && reported->second == replica.started_ms) continue;
    reported->second = replica.started_ms;
    message.leaving.push_back({id, replica.started_ms});
  }
}

auto CollectAccounts(const Relay& relay, const DispatchTable& table, SentState& sent,
                     wire::EntryState& message, core::Time now) -> void {
  if (now - sent.accounts_sent_at < kMinAccountInterval) return;
  sent.accounts_sent_at = now;
  for (const auto& [service, queue] : table.queues) {
    for (const auto& [workspace, account] : queue.accounts) {
      const double used = direct::RecentService(account.local_service, relay.policies.queue, now);
      const bool waiting = !account.waiting.empty();
      auto& last = sent.accounts[{service, workspace}];
      if (std::abs(used - last.used) < kMinAccountChange && waiting == last.waiting) continue;
      last = {used, waiting};
      message.accounts.push_back({service, workspace, static_cast<std::uint64_t>(used), waiting});
    }
  }
}

// Returns the minimum time between two load messages on one link.
auto LoadMessageGap(Relay& relay) -> std::chrono::milliseconds {
  const auto links = relay.peers.With([](const PeerTable& table) { return table.peers.size(); });
  const std::chrono::milliseconds gap{links * 1000 / kMaxMessagesPerSecond};
  return std::max(gap, node::kMinUpdateInterval);
}

auto SendState(Relay& relay, SentState& sent, node::Outbox& outbox, bool period_over) -> void {
  const auto now = node::Now();
  wire::EntryState message;
  message.lease_us = static_cast<std::uint64_t>(FleetLease(relay).count());
  constexpr double millicores = 1000;
  message.failure_domain = relay.node.settings.failure_domain;
  message.millicores =
      static_cast<std::uint32_t>(millicores * relay.node.settings.cores.value_or(1));
  message.rotation = relay.rotation;
  const bool rotation_changed = std::exchange(sent.rotation, message.rotation) != message.rotation;
  relay.dispatch.With([&](const DispatchTable& table) {
    CollectReplicaLoads(table, sent, message);
    CollectPrefixUpdates(table, sent, message);
    CollectLeaving(table, sent, message);
    CollectQuarantineUpdates(table, sent.quarantine_update_count, message);
    CollectAccounts(relay, table, sent, message, now);
  });
  if (period_over) {
    message.address = settings::FormatAddress(relay.node.settings.peers);
    relay.peers.With([&](const PeerTable& table) {
      for (const auto& [address, peer] : table.peers) message.known_addresses.push_back(address);
    });
  }
  if (period_over || rotation_changed || !message.replicas.empty() ||
      !message.cached_blocks.empty() || !message.accounts.empty() || !message.crashes.empty() ||
      !message.sound_blocks.empty() || !message.leaving.empty()) {
    outbox.Push(std::move(message));
  }
}

auto AddReportedPeer(Relay& relay, const std::string& peer, const std::string& address) -> void;

auto HandleState(Relay& relay, const std::string& peer, const wire::EntryState& message) -> void {
  const auto now = node::Now();
  bool capacity_freed = false;
  relay.dispatch.With([&](DispatchTable& table) {
    for (const auto& row : message.replicas) {
      capacity_freed |= direct::SetPeerLoad(table.replicas, peer, row.replica,
                                            {row.in_flight, row.prefill_tokens});
    }
    for (const auto& row : message.cached_blocks) {
      auto* replica = direct::FindListedReplica(table.replicas, row.replica);
      if (replica == nullptr) continue;
      direct::AddToPrefixCache(replica->prefix_cache, {row.key, row.tokens},
                               relay.policies.replicas.cache_capacity_tokens);
    }
    for (const auto& row : message.accounts) {
      direct::SetPeerAccount(table.queues[row.service], relay.policies.queue, row.workspace, peer,
                             {{static_cast<double>(row.used), now}, row.waiting});
    }
  });
  if (capacity_freed) relay.capacity_freed.Notify();
  ApplyQuarantineUpdates(relay, message);
  ApplyLeaving(relay, message.leaving);
  relay.peers.With([&](PeerTable& table) {
    const auto lease = std::min<std::uint64_t>(message.lease_us, direct::kCredentialLease.count());
    table.confirmed_until[peer] = now + core::Duration(lease);
    if (message.failure_domain != relay.node.settings.failure_domain) return;
    constexpr double cores = 0.001;
    table.neighbors[peer] = {{peer, message.millicores * cores, message.rotation}, now};
  });
  if (!message.address.empty()) AddReportedPeer(relay, peer, message.address);
  for (const auto& address : message.known_addresses) AddReportedPeer(relay, peer, address);
}

auto HandlePeerClosed(Relay& relay, const std::string& peer) -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    direct::DropPeer(table.replicas, peer);
    for (auto& [service, queue] : table.queues) {
      direct::DropPeer(queue, relay.policies.queue, peer, node::Now());
    }
  });
  relay.peers.With([&](PeerTable& table) {
    table.confirmed_until.erase(peer);
    const auto neighbor = table.neighbors.find(peer);
    if (neighbor == table.neighbors.end()) return;
    neighbor->second.member.state = core::RotationState::out;
    neighbor->second.updated_at = node::Now();
  });
}

// Each entry sends its state on the links that it opened and receives the others' state on those
// that it accepted, so that two entries need not agree on one link.
auto OutgoingHandlers(Relay& relay, const std::string& address) -> node::ControlHandlers {
  const auto sent = std::make_shared<SentState>();
  node::ControlHandlers handlers;
  handlers.accept_peer = [&relay, address](const wire::Hello& peer,
                                           const std::shared_ptr<node::Outbox>& outbox) {
    if (peer.role != core::Role::entry) return false;
    return relay.peers.With([&](PeerTable& table) {
      const auto found = table.peers.find(address);
      // Another link may have displaced this one while it was being opened.
      if (found == table.peers.end()) return false;
      const bool self = peer.id == relay.node.settings.id;
      found->second.self = self;
      found->second.outbox = self ? nullptr : outbox;
      return !self;
    });
  };
  handlers.on_message = [sent](const wire::Hello&, const wire::ControlMessage&) {
    sent->received_at = node::Now();
  };
  handlers.push_update = [&relay, sent](const wire::Hello&, node::Outbox& outbox,
                                        bool period_over) {
    if (sent->received_at == core::Time{}) sent->received_at = node::Now();
    if (node::Now() - sent->received_at > kSilenceTimeout) outbox.Close();
    SendState(relay, *sent, outbox, period_over);
  };
  handlers.min_update_interval = [&relay] { return LoadMessageGap(relay); };
  handlers.on_close = [&relay, address](const wire::Hello&) {
    relay.peers.With([&](PeerTable& table) {
      const auto found = table.peers.find(address);
      if (found != table.peers.end()) found->second.outbox = nullptr;
    });
  };
  return handlers;
}

auto IncomingHandlers(Relay& relay) -> node::ControlHandlers {
  const auto received_at = std::make_shared<core::Time>();
  node::ControlHandlers handlers;
  handlers.accept_peer = [&relay, received_at](const wire::Hello& peer,
                                               const std::shared_ptr<node::Outbox>&) {
    *received_at = node::Now();
    return peer.role == core::Role::entry && peer.id != relay.node.settings.id;
  };
  handlers.on_message = [&relay, received_at](const wire::Hello& peer,
                                              const wire::ControlMessage& message) {
    *received_at = node::Now();
    if (const auto* state = std::get_if<wire::EntryState>(&message)) {
      HandleState(relay, peer.id, *state);
    }
  };
  handlers.push_update = [received_at](const wire::Hello&, node::Outbox& outbox, bool period_over) {
    if (node::Now() - *received_at > kSilenceTimeout) outbox.Close();
    // Shows the opener that its link is alive.
    if (period_over) outbox.Push(wire::EntryState{});
  };
  handlers.on_close = [&relay](const wire::Hello& peer) { HandlePeerClosed(relay, peer.id); };
  return handlers;
}

// Returns whether the link should be kept open; removes its address if not.
auto ShouldKeepLink(Relay& relay, const std::string& address, core::Time last_open) -> bool {
  const auto now = node::Now();
  return relay.peers.With([&](PeerTable& table) {
    const auto found = table.peers.find(address);
    if (found == table.peers.end() || found->second.self) return false;
    if (found->second.seed || now - last_open < kForgetPeerAfter) return true;
    table.peers.erase(found);
    return false;
  });
}

auto MaintainLink(Relay& relay, const std::string& address) -> void {
  auto last_open = node::Now();
  while (ShouldKeepLink(relay, address, last_open)) {
    try {
      const auto connection = net::Connect(address, kConnectTimeout);
      const auto stream = connection->StartStream(std::string(node::kControlPath));
      last_open = node::Now();
      node::RunControl(relay.node, stream, OutgoingHandlers(relay, address));
      last_open = node::Now();
    } catch (const core::Error& error) {
      node::LogError(Level::debug, Event::peer_lost, error);
    }
    runtime::SleepFor(kReconnectWait);
  }
}

// Ensures that the table has a free place for a link to the address. Returns whether it has; the
// displaced link is closed. Seeds are never displaced, since every entry starts from them.
auto MakeLinkAvailable(PeerTable& table, const std::string& self, const std::string& address)
    -> bool {
  if (table.peers.size() < kMaxLinks) return true;
  std::vector<std::string> linked;
  for (const auto& [other, peer] : table.peers) {
    if (!peer.seed) linked.push_back(other);
  }
  const auto displaced_address = direct::FindDisplacedLink(self, linked, address);
  if (!displaced_address) return false;
  const auto displaced = table.peers.find(*displaced_address);
  if (displaced->second.outbox) displaced->second.outbox->Close();
  table.peers.erase(displaced);
  return true;
}

auto AddPeer(Relay& relay, const std::string& address, bool seed) -> void {
  const auto self = settings::FormatAddress(relay.node.settings.peers);
  if (address == self) return;
  const bool added = relay.peers.With([&](PeerTable& table) {
    if (table.peers.contains(address) || !MakeLinkAvailable(table, self, address)) return false;
    table.peers[address].seed = seed;
    return true;
  });
  if (!added) return;
  const auto worker = std::hash<std::string>{}(address);
  relay.node.pool.Post(worker, [&relay, address] { MaintainLink(relay, address); });
}

// Opens a link to an entry that `peer` reported. An address that nobody can connect to would be
// retried repeatedly, displace another one and spread to all entries.
auto AddReportedPeer(Relay& relay, const std::string& peer, const std::string& address) -> void {
  if (const auto target = core::ParseConnectAddress(address)) {
    const auto formatted = core::FormatAddress(*target);
    relay.peers.With([&](PeerTable& table) {
      const bool full = table.reported_at.size() >= kMaxReportedAddresses;
      if (!full || table.reported_at.contains(formatted)) {
        table.reported_at[formatted] = node::Now();
      }
    });
    AddPeer(relay, formatted, false);
  } else {
    node::LogError(
        Level::debug, Event::peer_lost,
        core::Error(core::Step::decode, peer, "reported an entry with an invalid address"));
  }
}

auto ServePeer(Relay& relay, const std::shared_ptr<net::Stream>& stream) -> void {
  if (stream->Path() != node::kControlPath) {
    stream->Reset();
    return;
  }
  try {
    node::RunControl(relay.node, stream, IncomingHandlers(relay));
  } catch (const core::Error& error) {
    node::LogError(Level::debug, Event::peer_lost, error);
  }
}

}  // namespace

auto ListenPeers(const std::shared_ptr<Relay>& relay) -> void {
  const auto address = settings::FormatAddress(relay->node.settings.peers);
  net::StreamLimits limits;
  limits.max_connections = std::max<std::size_t>(1, kMaxPeerConnections / relay->workers.size());
  limits.max_message_bytes = kMaxPeerMessageBytes;
  limits.max_streams = kMaxPeerStreams;
  limits.max_streamless_time = kMaxStreamlessTime;
  limits.budget = relay->node.budget;
  limits.on_limit = node::MakeLimitObserver(relay->node, "peers");
  net::ListenStreams(
      address, [relay](const std::shared_ptr<net::Stream>& stream) { ServePeer(*relay, stream); },
      std::move(limits));
  telemetry::Log(Level::info, Event::listening, {{"purpose", "peers"}, {"address", address}});
}

auto AddSeeds(Relay& relay, const std::vector<settings::Address>& seeds) -> void {
  for (const auto& seed : seeds) AddPeer(relay, settings::FormatAddress(seed), true);
}

auto ListNeighbors(Relay& relay) -> std::vector<direct::RotationMember> {
  return relay.peers.With([now = node::Now()](PeerTable& table) {
    std::erase_if(table.neighbors, [now](const auto& item) {
      return now - item.second.updated_at > kLostNeighborTime;
    });
    std::vector<direct::RotationMember> members;
    for (const auto& [id, neighbor] : table.neighbors) members.push_back(neighbor.member);
    return members;
  });
}

auto CountEntries(Relay& relay) -> std::size_t {
  const auto self = settings::FormatAddress(relay.node.settings.peers);
  return relay.peers.With([&, now = node::Now()](PeerTable& table) {
    std::erase_if(table.reported_at,
                  [now](const auto& item) { return now - item.second > kForgetPeerAfter; });
    const auto is_linked_other = [](const auto& item) { return !item.second.self; };
    const auto is_unlinked_other = [&](const auto& item) {
      return item.first != self && !table.peers.contains(item.first);
    };
    const auto others =
        std::count_if(table.peers.begin(), table.peers.end(), is_linked_other) +
        std::count_if(table.reported_at.begin(), table.reported_at.end(), is_unlinked_other);
    return static_cast<std::size_t>(others) + 1;
  });
}

auto ListKnownEntries(Relay& relay) -> direct::ColdView {
  const auto self = settings::FormatAddress(relay.node.settings.peers);
  return relay.peers.With([&, now = node::Now()](const PeerTable& table) {
    direct::ColdView view;
    for (const auto& [address, peer] : table.peers) {
      if (!peer.self) view.others.push_back(address);
      view.linked |= peer.outbox != nullptr;
    }
    for (const auto& [address, reported_at] : table.reported_at) {
      if (address == self || table.peers.contains(address)) continue;
      if (now - reported_at <= kForgetPeerAfter) view.others.push_back(address);
    }
    return view;
  });
}

auto WakePeers(Relay& relay) -> void {
  relay.peers.With([](const PeerTable& table) {
    for (const auto& [address, peer] : table.peers) {
      if (peer.outbox) peer.outbox->RequestUpdate();
    }
  });
}

}  // namespace filbertstair::relay
