#include "filbertstair/entry/entry.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "filbertstair/core/error.h"
#include "filbertstair/node/admin.h"
#include "filbertstair/node/start.h"
#include "state.h"

namespace filbertstair::entry {
namespace {

using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

// Upper bound for the body size that a document may allow.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{64} << 20;

auto ListenForCallers(const std::shared_ptr<Entry>& entry) -> void {
  const auto address = settings::FormatAddress(entry->node.settings.callers);
  net::HttpLimits limits;
  limits.max_body_bytes = kMaxBodyBytes;
  net::HttpHandlers handlers;
  handlers.request = [entry](const net::HttpRequest& request, net::Responder& responder) {
    HandleRequest(*entry, request, responder);
  };
  handlers.fault = [entry](net::RequestFault fault, net::Responder& responder) {
    node::SendRefusal(entry->node, "", "", node::ToRequestRefusal(fault), responder);
  };
  handlers.should_close = [entry] { return entry->node.draining.load(); };
  handlers.begin_work = [entry] { return node::BeginWork(entry->node); };
  entry->workers[runtime::WorkerIndex()].caller_listener =
      std::make_shared<net::HttpListener>(net::ListenHttp(address, limits, std::move(handlers)));
  telemetry::Log(Level::info, Event::listening, {{"purpose", "callers"}, {"address", address}});
}

auto ListenForPeers(const std::shared_ptr<Entry>& entry) -> void {
  const auto address = settings::FormatAddress(entry->node.settings.peers);
  net::ListenStreams(address, [entry](const std::shared_ptr<net::Stream>& stream) {
    ServePeerStream(*entry, stream);
  });
  telemetry::Log(Level::info, Event::listening, {{"purpose", "peers"}, {"address", address}});
}

auto AddStatus(Entry& entry, boost::json::object& status) -> void {
  entry.queue.With([&](const QueueState& state) {
    boost::json::array queues;
    for (const auto& [key, queue] : state.queues.queues) {
      queues.push_back({{"service", key.service},
                        {"workspace", key.workspace},
                        {"owner", key.owner},
                        {"waiting", queue.size()}});
    }
    status["queues"] = std::move(queues);
    boost::json::array endpoints;
    for (const auto& [id, link] : state.endpoints) {
      endpoints.push_back({{"id", id}, {"free", link.free_slots}, {"draining", link.draining}});
    }
    status["endpoints"] = std::move(endpoints);
  });
  entry.shares.With([&](const shares::ShareTable& shares) {
    boost::json::array accounts;
    for (const auto& row : shares.rows) {
      accounts.push_back({{"account", row.name}, {"fleet_us", shares::FleetTotal(row)}});
    }
    status["shares"] = std::move(accounts);
  });
}

auto StartAdmin(const std::shared_ptr<Entry>& entry) -> void {
  node::AdminHandlers handlers;
  handlers.is_ready = [entry] {
    return !entry->node.draining && node::CurrentSnapshot(entry->node)->configured;
  };
  handlers.add_status = [entry](boost::json::object& status) { AddStatus(*entry, status); };
  handlers.refresh_gauges = [entry] {
    const auto waiting =
        entry->queue.With([](const QueueState& state) { return state.queues.waiting; });
    entry->node.metrics.Set(Metric::waiting, static_cast<double>(waiting));
  };
  handlers.begin_drain = [entry] { Drain(*entry); };
  node::ListenAdmin(entry->node, handlers);
}

}  // namespace

auto Start(node::Node& node) -> std::shared_ptr<Entry> {
  auto entry = std::make_shared<Entry>(node);
  node.on_configuration = [entry] { entry->links_changed.Notify(); };
  for (std::size_t i = 0; i < node.pool.Size(); ++i) {
    node::RunOnWorker(node, i, [&] {
      ListenForPeers(entry);
      ListenForCallers(entry);
    });
  }
  node::RunOnWorker(node, 0, [&] { StartAdmin(entry); });
  node.pool.Post(0, [entry] { LinkLoop(*entry); });
  node.pool.Post(0, [entry] { PlatformLoop(*entry); });
  return entry;
}

auto Drain(Entry& entry) -> void {
  node::DrainListeners(entry.node, [&entry](std::size_t worker) {
    return entry.workers[worker].caller_listener.get();
  });
}

auto CancelRequests(Entry& entry, node::StopScope scope) -> void {
  for (std::size_t i = 0; i < entry.workers.size(); ++i) {
    entry.node.pool.Post(i, [&entry, i, scope] { CancelWorkerRequests(entry.workers[i], scope); });
  }
}

}  // namespace filbertstair::entry
