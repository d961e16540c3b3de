#include "state.h"

namespace filbertstair::relay {
namespace {

using telemetry::Event;
using telemetry::Level;

// Closing times up to this get a timer of their own; requests that wait for longer ones are looked
// at with the regular sweep.
constexpr core::Duration kMaxReopenTimer = std::chrono::seconds(10);

// Records that a replica leaves. Requests that wait for it are assigned to others, and its idle
// connections are closed; its requests in progress go on.
auto HandleLeaving(Relay& relay, const std::string& id, std::int64_t started_ms,
                   ReportSource source) -> bool {
  std::string service;
  std::string address;
  const bool is_new = relay.dispatch.With([&](DispatchTable& table) {
    if (!direct::RecordLeaving(table.replicas, id, started_ms, node::Now())) return false;
    const auto* replica = direct::FindListedReplica(table.replicas, id);
    if (replica == nullptr || !replica->told_leaving) return true;
    service = replica->listing.service;
    address = replica->listing.address;
    AssignWaiting(relay, table, service);
    ResolveUnplaceable(relay, table);
    return true;
  });
  if (!is_new) return false;
  telemetry::Log(
      Level::info, Event::replica_changed,
      {{"peer", id}, {"service", service}, {"state", "leaving"}, {"source", core::Name(source)}});
  if (address.empty()) return true;
  for (std::size_t i = 0; i < relay.workers.size(); ++i) {
    relay.node.pool.Post(i,
                         [&relay, address] { CloseIdleConnections(ThisWorker(relay), address); });
  }
  return true;
}

auto HandleClosed(Relay& relay, const Call& call, const Assignment& assignment,
                  core::Duration delay) -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    auto* replica = direct::FindReplica(table.replicas, assignment.service, assignment.replica);
    if (replica == nullptr) return;
    direct::RecordClosed(*replica, relay.policies.availability, delay, node::Now());
    AssignWaiting(relay, table, assignment.service);
  });
  const auto delay_ms = std::chrono::duration_cast<std::chrono::milliseconds>(delay);
  telemetry::Log(Level::info, Event::replica_closed,
                 {{"request", call.id},
                  {"peer", assignment.replica},
                  {"delay_ms", std::to_string(delay_ms.count())}});
  if (delay > kMaxReopenTimer) return;
  runtime::Spawn([&relay, delay] {
    runtime::SleepFor(delay);
    relay.capacity_freed.Notify();
  });
}

auto LogInvalidRetryAfter(Relay& relay, const Call& call, const Assignment& assignment) -> void {
  const bool first = relay.dispatch.With([&](DispatchTable& table) {
    auto* replica = direct::FindReplica(table.replicas, assignment.service, assignment.replica);
    return replica != nullptr && !std::exchange(replica->retry_after_ignored, true);
  });
  if (!first) return;
  telemetry::Log(Level::warning, Event::retry_after_ignored,
                 {{"request", call.id}, {"peer", assignment.replica}});
}

}  // namespace

auto ApplyAvailability(Relay& relay, const Call& call, const Assignment& assignment,
                       const ResponseHead& head) -> void {
  if (head.leaving) {
    const auto started_ms = relay.dispatch.With([&](DispatchTable& table) {
      const auto* replica =
          direct::FindReplica(table.replicas, assignment.service, assignment.replica);
      return replica == nullptr ? 0 : replica->listing.started_ms;
    });
    if (HandleLeaving(relay, assignment.replica, started_ms, ReportSource::replica)) {
      WakePeers(relay);
    }
  }
  if (head.closed_for) HandleClosed(relay, call, assignment, *head.closed_for);
  if (head.invalid_closed_for) LogInvalidRetryAfter(relay, call, assignment);
}

auto ApplyLeaving(Relay& relay, const std::vector<wire::LeavingReplica>& leaving) -> void {
  for (const auto& row : leaving) {
    HandleLeaving(relay, row.replica, row.started_ms, ReportSource::peer);
  }
}

auto CheckSend(Relay& relay, const Call& call, const Assignment& assignment)
    -> direct::SendVerdict {
  const auto verdict = relay.dispatch.With([&](DispatchTable& table) {
    const auto* replica =
        direct::FindReplica(table.replicas, assignment.service, assignment.replica);
    return direct::CheckSend(table.replicas, relay.origin, replica, call.residency, node::Now());
  });
  if (verdict == direct::SendVerdict::allowed) return verdict;
  relay.node.metrics.Count(telemetry::Metric::sends_withheld, core::Name(verdict));
  telemetry::Log(
      Level::info, Event::send_withheld,
      {{"request", call.id}, {"peer", assignment.replica}, {"cause", core::Name(verdict)}});
  return verdict;
}

}  // namespace filbertstair::relay
