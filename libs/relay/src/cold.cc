#include "state.h"

namespace filbertstair::relay {
namespace {

using telemetry::Event;
using telemetry::Level;
using telemetry::Metric;

auto LogCold(std::string_view id, std::string_view service, core::Duration left,
             ReportSource source) -> void {
  const auto left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(left);
  telemetry::Log(Level::info, Event::replica_cold,
                 {{"peer", id},
                  {"service", service},
                  {"left_ms", std::to_string(left_ms.count())},
                  {"source", core::Name(source)}});
}

// Runs `record`, which returns whether the replica became cold, with the table locked, and logs
// that if the service limits the rate.
template <typename Record>
auto RecordCold(Relay& relay, const Assignment& assignment, Record&& record) -> void {
  const auto now = node::Now();
  std::optional<core::Duration> left;
  relay.dispatch.With([&](DispatchTable& table) {
    auto& cold = table.replicas.cold;
    if (!record(cold, now)) return;
    if (!direct::IsCold(cold, assignment.service, assignment.replica, now)) return;
    left = cold.replicas.at(assignment.replica).until - now;
  });
  if (!left) return;
  LogCold(assignment.replica, assignment.service, *left, ReportSource::replica);
  relay.capacity_freed.Notify();
}

}  // namespace

auto ApplyColdListing(Relay& relay, DispatchTable& table, const direct::Listing& listing) -> void {
  const auto now = node::Now();
  auto& cold = table.replicas.cold;
  if (!direct::RecordColdListing(cold, relay.policies.replicas.cold, listing.service, listing.id,
                                 listing.started_ms, listing.cold_left, now)) {
    return;
  }
  if (!direct::IsCold(cold, listing.service, listing.id, now)) return;
  LogCold(listing.id, listing.service, cold.replicas.at(listing.id).until - now,
          ReportSource::list);
  relay.capacity_freed.Notify();
}

auto ApplyColdReport(Relay& relay, const Assignment& assignment, const ResponseHead& head) -> void {
  if (!head.cold_left || *head.cold_left <= core::Duration::zero()) return;
  RecordCold(relay, assignment, [&](direct::ColdTable& cold, core::Time now) {
    return direct::RecordColdReport(cold, relay.policies.replicas.cold, assignment.service,
                                    assignment.replica, *head.cold_left, now);
  });
}

auto RecordReplicaEnd(Relay& relay, const Assignment& assignment) -> void {
  RecordCold(relay, assignment, [&](direct::ColdTable& cold, core::Time now) {
    return direct::RecordColdEnd(cold, relay.policies.replicas.cold, assignment.service,
                                 assignment.replica, now);
  });
}

auto BeginColdSend(Relay& relay, Assignment& assignment) -> bool {
  const auto& policy = relay.policies.replicas.cold;
  enum class Result { warm, sent, withheld };
  const auto result = relay.dispatch.With([&](DispatchTable& table) {
    const auto now = node::Now();
    auto& cold = table.replicas.cold;
    const auto& service = assignment.service;
    const auto& id = assignment.replica;
    if (!assignment.cold_turn) {
      if (!direct::IsCold(cold, service, id, now)) {
        direct::RecordWarmSend(cold, service, id, now);
        return Result::warm;
      }
      // The replica has become cold since the request was assigned.
      if (!direct::HasColdTurn(cold, policy, service, id, now)) return Result::withheld;
      assignment.cold_turn = direct::TakeColdTurn(cold, policy, service, id, now);
    }
    direct::RecordColdSend(cold, policy, service, id, *assignment.cold_turn, now);
    return Result::sent;
  });
  if (result != Result::warm) {
    relay.node.metrics.Count(Metric::cold_requests, result == Result::sent ? "sent" : "withheld");
  }
  return result != Result::withheld;
}

auto RecordColdWritten(Relay& relay, Assignment& assignment) -> void {
  if (!assignment.cold_turn) return;
  relay.dispatch.With([&](DispatchTable& table) {
    direct::RecordColdSend(table.replicas.cold, relay.policies.replicas.cold, assignment.service,
                           assignment.replica, *assignment.cold_turn, node::Now());
  });
}

auto RecordColdAnswer(Relay& relay, Assignment& assignment) -> void {
  if (!assignment.cold_turn) return;
  relay.dispatch.With([&](DispatchTable& table) {
    direct::RecordColdAnswer(table.replicas.cold, relay.policies.replicas.cold, assignment.service,
                             assignment.replica, *assignment.cold_turn, node::Now());
  });
  relay.capacity_freed.Notify();
}

auto UpdateColdSplit(Relay& relay) -> void {
  const auto view = ListKnownEntries(relay);
  std::size_t entries = 0;
  bool enabled = false;
  const bool changed = relay.dispatch.With([&](DispatchTable& table) {
    auto& cold = table.replicas.cold;
    const bool switched =
        direct::UpdateColdMembers(cold, relay.policies.replicas.cold, view, node::Now());
    entries = cold.members.others.size() + 1;
    enabled = cold.members.enabled;
    return switched;
  });
  if (!changed) return;
  telemetry::Log(Level::info, Event::cold_use_changed,
                 {{"enabled", enabled ? "true" : "false"}, {"entries", std::to_string(entries)}});
}

auto WaitForCapacity(Relay& relay) -> void {
  const auto turn = relay.dispatch.With([&](const DispatchTable& table) {
    return direct::FindNextColdTurn(table.replicas.cold, relay.policies.replicas.cold, node::Now());
  });
  if (turn) {
    relay.capacity_freed.WaitUntil(*turn);
  } else {
    relay.capacity_freed.Wait();
  }
}

}  // namespace filbertstair::relay
