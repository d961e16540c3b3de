#include "filbertstair/node/control.h"

#include "filbertstair/core/error.h"
#include "filbertstair/node/configuration.h"

namespace filbertstair::node {
namespace {

using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

auto SendMessage(Node& node, net::Stream& stream, const wire::ControlMessage& message) -> void {
  const auto bytes = wire::Encode(message);
  node.metrics.Count(Metric::control_sent, wire::KindName(message),
                     static_cast<double>(bytes.size()));
  stream.Send(bytes);
}

auto ReceiveMessage(Node& node, net::Stream& stream, std::chrono::steady_clock::time_point deadline)
    -> std::optional<wire::ControlMessage> {
  const auto bytes = stream.ReceiveUntil(deadline);
  if (!bytes) return std::nullopt;
  auto message = wire::DecodeControl(*bytes, stream.Peer());
  node.metrics.Count(Metric::control_received, wire::KindName(message),
                     static_cast<double>(bytes->size()));
  return message;
}

auto MakeHello(const Node& node) -> wire::Hello {
  const auto& s = node.settings;
  return {s.id, node.incarnation, s.role, s.region, s.failure_domain, s.pool};
}

auto ExchangeHello(Node& node, net::Stream& stream) -> wire::Hello {
  SendMessage(node, stream, MakeHello(node));
  const auto message =
      ReceiveMessage(node, stream, std::chrono::steady_clock::now() + kHelloTimeout);
  if (message) {
    if (const auto* hello = std::get_if<wire::Hello>(&*message)) return *hello;
  }
  throw core::Error(core::Step::decode, stream.Peer(), "expected Hello");
}

auto WriteLoop(Node& node, net::Stream& stream, Outbox& outbox, const wire::Hello& peer,
               const ControlHandlers& handlers) -> void {
  auto next_period = std::chrono::steady_clock::now();
  auto next_update = next_period;
  while (!outbox.IsClosed()) {
    auto messages = outbox.WaitUntil(next_period);
    for (const auto& message : messages) SendMessage(node, stream, message);
    const auto now = std::chrono::steady_clock::now();
    const bool period_over = now >= next_period;
    if (now < next_update) {
      if (!messages.empty()) continue;
      runtime::SleepFor(std::chrono::duration_cast<core::Duration>(next_update - now));
    }
    next_update =
        std::chrono::steady_clock::now() +
        (handlers.min_update_interval ? handlers.min_update_interval() : kMinUpdateInterval);
    if (period_over) {
      next_period = now + kControlPeriod;
      outbox.Push(PeriodicDigest(node));
    }
    if (handlers.push_update) handlers.push_update(peer, outbox, period_over);
  }
}

auto StartWriter(Node& node, const std::shared_ptr<net::Stream>& stream,
                 const std::shared_ptr<Outbox>& outbox, const wire::Hello& peer,
                 const ControlHandlers& handlers) -> void {
  runtime::Spawn([&node, stream, outbox, peer, handlers] {
    try {
      WriteLoop(node, *stream, *outbox, peer, handlers);
    } catch (const core::Error&) {
      // The read loop sees the same failure and logs it.
    }
    outbox->Close();
    stream->Reset();
  });
}

auto HandleMessage(Node& node, const wire::Hello& peer, const wire::ControlMessage& message,
                   Outbox& outbox, const ControlHandlers& handlers) -> void {
  std::vector<wire::ControlMessage> replies;
  if (const auto* digest = std::get_if<wire::Digest>(&message)) {
    const auto freshness = node.members.With([&](membership::MemberTable& table) {
      return membership::RecordMessage(table, peer.id, peer.incarnation, digest->draining, Now());
    });
    if (freshness == membership::Freshness::stale) return;
    replies = HandleDigest(node, *digest, peer.id);
    if (node.on_digest) node.on_digest();
  } else if (const auto* fetch = std::get_if<wire::FetchRequest>(&message)) {
    replies = HandleFetch(node, *fetch);
  } else if (const auto* published = std::get_if<wire::Published>(&message)) {
    HandlePublished(node, *published, peer.id);
  } else if (handlers.on_message) {
    handlers.on_message(peer, message);
  }
  for (auto& reply : replies) outbox.Push(std::move(reply));
}

auto ReadLoop(Node& node, net::Stream& stream, const wire::Hello& peer, Outbox& outbox,
              const ControlHandlers& handlers) -> void {
  while (auto message =
             ReceiveMessage(node, stream, std::chrono::steady_clock::time_point::max())) {
    HandleMessage(node, peer, *message, outbox, handlers);
  }
}

auto OpenLink(Node& node, const wire::Hello& peer, const std::shared_ptr<Outbox>& outbox) -> void {
  node.members.With([&](membership::MemberTable& table) {
    membership::RecordMessage(table, peer.id, peer.incarnation, false, Now());
  });
  node.links.With([&](LinkTable& links) { links.peers[peer.id] = {peer.role, outbox}; });
  telemetry::Log(Level::info, Event::peer_connected, {{"peer", peer.id}});
}

auto CloseLink(Node& node, const wire::Hello& peer, const std::shared_ptr<Outbox>& outbox) -> void {
  node.links.With([&](LinkTable& links) {
    const auto found = links.peers.find(peer.id);
    if (found != links.peers.end() && found->second.outbox == outbox) links.peers.erase(found);
  });
  node.members.With([&](membership::MemberTable& table) {
    membership::RecordLinkDown(table, peer.id, peer.incarnation, Now());
  });
  node.config.With([&](ConfigState& state) { config::CancelFetchesFrom(state.fetches, peer.id); });
}

}  // namespace

auto RunControl(Node& node, const std::shared_ptr<net::Stream>& stream,
                const ControlHandlers& handlers) -> void {
  const auto peer = ExchangeHello(node, *stream);
  const auto outbox = std::make_shared<Outbox>();
  if (handlers.accept_peer && !handlers.accept_peer(peer, outbox)) {
    telemetry::Log(Level::warning, Event::peer_refused, {{"peer", peer.id}});
    stream->Reset();
    return;
  }
  OpenLink(node, peer, outbox);
  StartWriter(node, stream, outbox, peer, handlers);
  try {
    ReadLoop(node, *stream, peer, *outbox, handlers);
  } catch (const core::Error& error) {
    if (!node.draining) LogError(Level::warning, Event::peer_lost, error);
  }
  outbox->Close();
  CloseLink(node, peer, outbox);
  if (handlers.on_close) handlers.on_close(peer);
}

}  // namespace filbertstair::node
