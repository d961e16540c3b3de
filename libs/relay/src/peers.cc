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
// Silence after which a link is given up. The peer sends at least every second, and a connection
// may go silent without being closed.
constexpr core::Duration kSilence = std::chrono::milliseconds(2500);
// Time for which an address is tried without success before it is forgotten, unless it is a seed.
constexpr core::Duration kForgetAfter = std::chrono::seconds(30);
// Time for which an entry of the failure domain whose link is gone counts as out of rotation. The
// balancer counts it until its VM is replaced.
constexpr core::Duration kRememberNeighbor = std::chrono::seconds(60);
// Least time between two messages about accounts; shares are compared over seconds.
constexpr core::Duration kAccountInterval = std::chrono::milliseconds(100);
// Change of an account's recent service that is worth a message, in tokens or requests.
constexpr double kAccountChange = 500;
// Load messages that one entry sends in a second over all its links. Without this bound, at one per
// 20 ms and link, a fifth to a third of the processor time of 27 and 31 entries went into them.
constexpr int kMessagesPerSecond = 250;
// Entries that one entry is linked to. Beyond them it relies on the replicas' own reports. The rate
// of messages is bounded for all links together, so that more of them cost memory, and each peer
// hears later.
constexpr std::size_t kMaxLinks = 48;

// What a linked entry was last told, used by the link's own fibers.
struct Told {
  std::map<std::string, direct::ReplicaLoad> replicas;
  struct Account {
    double used = 0;
    bool waiting = false;
  };
  std::map<std::pair<std::string, std::string>, Account> accounts;
  core::Time accounts_at{};
  core::RotationState rotation = core::RotationState::serving;
  // Number of the news of kept parts.
  std::uint64_t kept_count = 0;
  core::Time heard{};
};

auto CollectReplicas(const DispatchTable& table, Told& told, wire::EntryState& message) -> void {
  for (const auto& [service, replicas] : table.replicas.services) {
    for (const auto& [id, replica] : replicas) {
      const direct::ReplicaLoad use{replica.in_flight, replica.prefill_tokens};
      auto& last = told.replicas[id];
      if (use == last) continue;
      last = use;
      message.replicas.push_back({id, use.in_flight, use.prefill_tokens});
    }
  }
}

auto CollectKept(const DispatchTable& table, Told& told, wire::EntryState& message) -> void {
  const auto size = table.kept_news.size();
  const auto news = std::min<std::uint64_t>(table.kept_count - told.kept_count, size);
  for (auto i = size - news; i < size; ++i) {
    const auto& item = table.kept_news[i];
    message.cached_blocks.push_back({item.replica, item.part.key, item.part.tokens});
  }
  told.kept_count = table.kept_count;
}

auto CollectAccounts(const Relay& relay, const DispatchTable& table, Told& told,
                     wire::EntryState& message, core::Time now) -> void {
  if (now - told.accounts_at < kAccountInterval) return;
  told.accounts_at = now;
  for (const auto& [service, queue] : table.queues) {
    for (const auto& [workspace, account] : queue.accounts) {
      const double used = direct::RecentService(account.local_service, relay.policies.queue, now);
      const bool waiting = !account.waiting.empty();
      auto& last = told.accounts[{service, workspace}];
      if (std::abs(used - last.used) < kAccountChange && waiting == last.waiting) continue;
      last = {used, waiting};
      message.accounts.push_back({service, workspace, static_cast<std::uint64_t>(used), waiting});
    }
  }
}

// Least time between two load messages on one link.
auto UpdateGap(Relay& relay) -> std::chrono::milliseconds {
  const auto links = relay.peers.With([](const PeerTable& table) { return table.peers.size(); });
  const std::chrono::milliseconds gap{links * 1000 / kMessagesPerSecond};
  return std::max(gap, node::kMinUpdateInterval);
}

auto SendState(Relay& relay, Told& told, node::Outbox& outbox, bool period_over) -> void {
  const auto now = node::Now();
  wire::EntryState message;
  message.lease_us = static_cast<std::uint64_t>(FleetLease(relay).count());
  constexpr double millicores = 1000;
  message.failure_domain = relay.node.settings.failure_domain;
  message.millicores =
      static_cast<std::uint32_t>(millicores * relay.node.settings.cores.value_or(1));
  message.rotation = relay.rotation;
  const bool turned = std::exchange(told.rotation, message.rotation) != message.rotation;
  relay.dispatch.With([&](const DispatchTable& table) {
    CollectReplicas(table, told, message);
    CollectKept(table, told, message);
    CollectAccounts(relay, table, told, message, now);
  });
  if (period_over) {
    message.address = settings::FormatAddress(relay.node.settings.peers);
    relay.peers.With([&](const PeerTable& table) {
      for (const auto& [address, peer] : table.peers) message.known_addresses.push_back(address);
    });
  }
  if (period_over || turned || !message.replicas.empty() || !message.cached_blocks.empty() ||
      !message.accounts.empty()) {
    outbox.Push(std::move(message));
  }
}

auto Learn(Relay& relay, const std::string& peer, const std::string& address) -> void;

auto HandleState(Relay& relay, const std::string& peer, const wire::EntryState& message) -> void {
  const auto now = node::Now();
  bool freed = false;
  relay.dispatch.With([&](DispatchTable& table) {
    for (const auto& row : message.replicas) {
      freed |= direct::SetPeerLoad(table.replicas, peer, row.replica,
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
  if (freed) relay.freed.Notify();
  relay.peers.With([&](PeerTable& table) {
    const auto lease = std::min<std::uint64_t>(message.lease_us, direct::kCredentialLease.count());
    table.current_until[peer] = now + core::Duration(lease);
    if (message.failure_domain != relay.node.settings.failure_domain) return;
    constexpr double cores = 0.001;
    table.neighbors[peer] = {{peer, message.millicores * cores, message.rotation}, now};
  });
  if (!message.address.empty()) Learn(relay, peer, message.address);
  for (const auto& address : message.known_addresses) Learn(relay, peer, address);
}

auto ForgetPeer(Relay& relay, const std::string& peer) -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    direct::DropPeer(table.replicas, peer);
    for (auto& [service, queue] : table.queues) {
      direct::DropPeer(queue, relay.policies.queue, peer, node::Now());
    }
  });
  relay.peers.With([&](PeerTable& table) {
    table.current_until.erase(peer);
    const auto neighbor = table.neighbors.find(peer);
    if (neighbor == table.neighbors.end()) return;
    neighbor->second.member.state = core::RotationState::out;
    neighbor->second.heard = node::Now();
  });
}

// Each entry tells its state on the links that it opened and hears the others' on those that it
// accepted, so that two entries need not agree on one link.
auto OutgoingHandlers(Relay& relay, const std::string& address) -> node::ControlHandlers {
  const auto told = std::make_shared<Told>();
  node::ControlHandlers handlers;
  handlers.accept_peer = [&relay, address](const wire::Hello& peer,
                                           const std::shared_ptr<node::Outbox>& outbox) {
    if (peer.role != core::Role::entry) return false;
    return relay.peers.With([&](PeerTable& table) {
      const auto known = table.peers.find(address);
      // Another link may have taken its place while this one was opened.
      if (known == table.peers.end()) return false;
      const bool self = peer.id == relay.node.settings.id;
      known->second.self = self;
      known->second.outbox = self ? nullptr : outbox;
      return !self;
    });
  };
  handlers.on_message = [told](const wire::Hello&, const wire::ControlMessage&) {
    told->heard = node::Now();
  };
  handlers.push_update = [&relay, told](const wire::Hello&, node::Outbox& outbox,
                                        bool period_over) {
    if (told->heard == core::Time{}) told->heard = node::Now();
    if (node::Now() - told->heard > kSilence) outbox.Close();
    SendState(relay, *told, outbox, period_over);
  };
  handlers.min_update_interval = [&relay] { return UpdateGap(relay); };
  handlers.on_close = [&relay, address](const wire::Hello&) {
    relay.peers.With([&](PeerTable& table) {
      const auto known = table.peers.find(address);
      if (known != table.peers.end()) known->second.outbox = nullptr;
    });
  };
  return handlers;
}

auto IncomingHandlers(Relay& relay) -> node::ControlHandlers {
  const auto heard = std::make_shared<core::Time>();
  node::ControlHandlers handlers;
  handlers.accept_peer = [&relay, heard](const wire::Hello& peer,
                                         const std::shared_ptr<node::Outbox>&) {
    *heard = node::Now();
    return peer.role == core::Role::entry && peer.id != relay.node.settings.id;
  };
  handlers.on_message = [&relay, heard](const wire::Hello& peer,
                                        const wire::ControlMessage& message) {
    *heard = node::Now();
    if (const auto* state = std::get_if<wire::EntryState>(&message)) {
      HandleState(relay, peer.id, *state);
    }
  };
  handlers.push_update = [heard](const wire::Hello&, node::Outbox& outbox, bool period_over) {
    if (node::Now() - *heard > kSilence) outbox.Close();
    // Tells the opener that its link is alive.
    if (period_over) outbox.Push(wire::EntryState{});
  };
  handlers.on_close = [&relay](const wire::Hello& peer) { ForgetPeer(relay, peer.id); };
  return handlers;
}

// Whether the link should still be kept up.
auto IsWanted(Relay& relay, const std::string& address, core::Time last_open) -> bool {
  const auto now = node::Now();
  return relay.peers.With([&](PeerTable& table) {
    const auto known = table.peers.find(address);
    if (known == table.peers.end() || known->second.self) return false;
    if (known->second.seed || now - last_open < kForgetAfter) return true;
    table.peers.erase(known);
    return false;
  });
}

auto RunLink(Relay& relay, const std::string& address) -> void {
  auto last_open = node::Now();
  while (IsWanted(relay, address, last_open)) {
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

// Makes room in a full table for a link to the address. Returns whether there is room; the link
// that gives way is closed. Seeds stay, since every entry starts from them.
auto MakeRoom(PeerTable& table, const std::string& self, const std::string& address) -> bool {
  if (table.peers.size() < kMaxLinks) return true;
  std::vector<std::string> linked;
  for (const auto& [other, peer] : table.peers) {
    if (!peer.seed) linked.push_back(other);
  }
  const auto last = direct::FindDisplacedLink(self, linked, address);
  if (!last) return false;
  const auto displaced = table.peers.find(*last);
  if (displaced->second.outbox) displaced->second.outbox->Close();
  table.peers.erase(displaced);
  return true;
}

auto AddPeer(Relay& relay, const std::string& address, bool seed) -> void {
  const auto self = settings::FormatAddress(relay.node.settings.peers);
  if (address == self) return;
  const bool added = relay.peers.With([&](PeerTable& table) {
    if (table.peers.contains(address) || !MakeRoom(table, self, address)) return false;
    table.peers[address].seed = seed;
    return true;
  });
  if (!added) return;
  const auto worker = std::hash<std::string>{}(address);
  relay.node.pool.Post(worker, [&relay, address] { RunLink(relay, address); });
}

// Links to an entry that `peer` told of. An address that nobody can connect to would be tried again
// and again, take the place of another one and spread to all entries.
auto Learn(Relay& relay, const std::string& peer, const std::string& address) -> void {
  if (const auto target = core::ParseConnectAddress(address)) {
    AddPeer(relay, core::FormatAddress(*target), false);
  } else {
    node::LogError(Level::debug, Event::peer_lost,
                   core::Error(core::Step::decode, peer, "told of an entry without an address"));
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
  net::ListenStreams(
      address, [relay](const std::shared_ptr<net::Stream>& stream) { ServePeer(*relay, stream); });
  telemetry::Log(Level::info, Event::listening, {{"purpose", "peers"}, {"address", address}});
}

auto AddSeeds(Relay& relay, const std::vector<settings::Address>& seeds) -> void {
  for (const auto& seed : seeds) AddPeer(relay, settings::FormatAddress(seed), true);
}

auto Neighbors(Relay& relay) -> std::vector<direct::RotationMember> {
  return relay.peers.With([now = node::Now()](PeerTable& table) {
    std::erase_if(table.neighbors,
                  [now](const auto& item) { return now - item.second.heard > kRememberNeighbor; });
    std::vector<direct::RotationMember> members;
    for (const auto& [id, neighbor] : table.neighbors) members.push_back(neighbor.member);
    return members;
  });
}

auto CountEntries(Relay& relay) -> std::size_t {
  return relay.peers.With([](const PeerTable& table) {
    const auto others = std::count_if(table.peers.begin(), table.peers.end(),
                                      [](const auto& item) { return !item.second.self; });
    return static_cast<std::size_t>(others) + 1;
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
