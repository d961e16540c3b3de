#include "filbertstair/node/node.h"

#include <algorithm>
#include <random>
#include <utility>

#include "filbertstair/core/error.h"

namespace filbertstair::node {
namespace {

auto LogListenerClosed(const net::DrainCounts& counts) -> void {
  telemetry::Log(telemetry::Level::info, telemetry::Event::listener_closed,
                 {{"accepted", std::to_string(counts.accepted)},
                  {"idle", std::to_string(counts.idle)},
                  {"unread", std::to_string(counts.unread)}});
}

// Minimum time between two log lines about one limit. A crowd of clients would fill the log.
constexpr core::Duration kLimitLogInterval = std::chrono::seconds(60);

auto MakeBudgetPolicy(const settings::Settings& settings) -> net::ByteBudgetPolicy {
  net::ByteBudgetPolicy policy;
  if (!settings.memory_mb) return policy;
  const std::size_t available_mb =
      *settings.memory_mb > kBaseMemoryMb ? *settings.memory_mb - kBaseMemoryMb : 1;
  policy.capacity = available_mb << 20;
  return policy;
}

}  // namespace

Node::Node(settings::Settings settings, core::Incarnation incarnation)
    : settings(std::move(settings)),
      incarnation(incarnation),
      budget(std::make_shared<net::ByteBudget>(MakeBudgetPolicy(this->settings))),
      pool(this->settings.workers, [](const std::exception& error) {
        LogError(telemetry::Level::error, telemetry::Event::internal_error, error);
      }) {
  this->history.With([&](History& h) { OpenHistory(h, this->settings.history); });
}

auto MakeLimitObserver(Node& node, std::string listener) -> net::LimitObserver {
  return [&node, listener = std::move(listener)](net::LimitReason reason) {
    const auto name = core::Name(reason);
    node.metrics.Count(telemetry::Metric::client_limits, name);
    const auto now = Now().time_since_epoch().count();
    auto& logged_at = node.limit_logged_at.at(static_cast<std::size_t>(reason));
    auto last = logged_at.load();
    if (last != 0 && now - last < kLimitLogInterval.count()) return;
    if (!logged_at.compare_exchange_strong(last, now)) return;
    telemetry::Log(telemetry::Level::warning, telemetry::Event::client_limited,
                   {{"listener", listener}, {"reason", name}});
  };
}

auto Now() -> core::Time {
  return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
}

auto RandomFraction() -> double {
  thread_local std::mt19937_64 random{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(random);
}

auto ResponseStartDeadline(const Node& node) -> core::Time {
  return node.exit_at.load() - kFinalAnswerTime;
}

auto DrainNoticeEnd(const Node& node) -> core::Time {
  return std::min(ResponseStartDeadline(node), Now() + kDrainNoticeTime);
}

auto BeginDrain(Node& node) -> bool {
  if (node.draining.exchange(true)) return false;
  telemetry::Log(telemetry::Level::info, telemetry::Event::stopping, {});
  node.history.With([&](History& h) { RecordDrainStart(h, Now(), node.settings.id); });
  return true;
}

auto BeginWork(Node& node) -> std::shared_ptr<void> {
  return std::make_shared<InFlightGuard>(node.in_flight);
}

auto DrainListeners(Node& node,
                    const std::function<net::HttpListener*(std::size_t worker)>& listener_of)
    -> void {
  if (!BeginDrain(node)) return;
  const auto close_at = DrainNoticeEnd(node);
  for (std::size_t i = 0; i < node.pool.Size(); ++i) {
    // `work` keeps the process from exiting before the connections in the backlog are accepted.
    node.pool.Post(i, [listener_of, i, close_at, work = BeginWork(node)] {
      runtime::SleepFor(close_at - Now());
      auto* listener = listener_of(i);
      if (listener != nullptr) LogListenerClosed(listener->Drain());
    });
  }
}

auto RecordEvent(Node& node, std::string_view request, TraceEvent event) -> void {
  event.recorded_at =
      std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
  node.traces.With([&](TraceTable& table) { AddEvent(table, request, std::move(event)); });
}

auto CurrentSnapshot(Node& node) -> std::shared_ptr<const Snapshot> {
  return node.config.With([](const ConfigState& state) { return state.snapshot; });
}

auto LiveEndpoints(const Snapshot& snapshot, const document::Service& service)
    -> std::vector<const membership::Vm*> {
  std::vector<const membership::Vm*> out;
  for (const auto& vm : snapshot.vms.vms) {
    const bool live = vm.role == core::Role::endpoint && vm.state == membership::VmState::live;
    if (live && document::FindPool(service, vm.pool) != nullptr) out.push_back(&vm);
  }
  return out;
}

auto LiveEndpointIds(const Snapshot& snapshot, const document::Service& service)
    -> std::vector<std::string> {
  std::vector<std::string> ids;
  for (const auto* vm : LiveEndpoints(snapshot, service)) ids.push_back(vm->id);
  return ids;
}

auto LogError(telemetry::Level level, telemetry::Event event, const std::exception& error,
              std::string_view request) -> void {
  std::string_view step;
  std::string_view peer;
  if (const auto* typed = dynamic_cast<const core::Error*>(&error)) {
    step = core::Name(typed->GetStep());
    peer = typed->Peer();
  }
  telemetry::Log(level, event,
                 {{"request", request}, {"step", step}, {"peer", peer}, {"error", error.what()}});
}

auto LogMemberChanges(const std::vector<membership::StateChange>& changes) -> void {
  for (const auto& change : changes) {
    telemetry::Log(telemetry::Level::info, telemetry::Event::member_changed,
                   {{"peer", change.id},
                    {"before", core::Name(change.before)},
                    {"after", core::Name(change.after)}});
  }
}

}  // namespace filbertstair::node
