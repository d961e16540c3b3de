#include <algorithm>
#include <charconv>

#include "state.h"

namespace filbertstair::endpoint {
namespace {

using telemetry::Event;
using telemetry::Level;

constexpr std::string_view kLeavingHeader = "X-Replica-Leaving";
constexpr int kServiceUnavailable = 503;
// Longest time for which a replica can close itself with one response; longer values count as this
// one.
constexpr core::Duration kMaxClosedTime = std::chrono::minutes(10);
// Interval at which a leaving replica is looked at for its end and its next start. A replica takes
// longer to start.
constexpr core::Duration kRestartCheckInterval = std::chrono::milliseconds(200);
constexpr std::chrono::milliseconds kRestartCheckTimeout{1000};

// Parses a time in seconds, also with a fraction.
auto ParseSeconds(std::string_view text) -> std::optional<core::Duration> {
  double seconds = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  // Also false for a value that is not a number.
  if (rest != end || error != std::errc() || !(seconds >= 0)) return std::nullopt;
  const std::chrono::duration<double> max_time = kMaxClosedTime;
  return std::chrono::duration_cast<core::Duration>(
      std::min(std::chrono::duration<double>(seconds), max_time));
}

// Refuses the staged requests, which other endpoints may serve. The caller holds the lock of the
// admission table.
auto RefuseStagedRequests(AdmissionTable& table) -> void {
  for (const auto& [id, pending] : table.pending) {
    if (pending->started) continue;
    pending->closed = true;
    pending->changed.Notify();
  }
}

auto WaitUntilReplica(Endpoint& endpoint, bool refuses_connections) -> void {
  const auto address = settings::FormatAddress(endpoint.node.settings.replica);
  while (net::RefusesConnections(address, kRestartCheckTimeout) != refuses_connections) {
    runtime::SleepFor(kRestartCheckInterval);
  }
}

auto HandleLeaving(Endpoint& endpoint) -> void {
  if (endpoint.replica_leaving.exchange(true)) return;
  endpoint.admission.With([&](AdmissionTable& table) {
    RefundGrants(endpoint, table, admission::DrainAdmission(table.admission));
    RefuseStagedRequests(table);
  });
  telemetry::Log(Level::info, Event::replica_changed,
                 {{"peer", settings::FormatAddress(endpoint.node.settings.replica)},
                  {"state", "leaving"},
                  {"source", "replica"}});
  NotifyLoadChange(endpoint);
  runtime::Spawn([&endpoint] {
    WaitUntilReplica(endpoint, true);
    WaitUntilReplica(endpoint, false);
    const bool resumed = endpoint.admission.With([&](AdmissionTable& table) {
      if (endpoint.node.draining) return false;
      admission::ResumeAdmission(table.admission);
      return true;
    });
    if (!resumed) return;
    endpoint.replica_leaving = false;
    telemetry::Log(Level::info, Event::replica_changed,
                   {{"peer", settings::FormatAddress(endpoint.node.settings.replica)},
                    {"state", "ready"},
                    {"source", "replica"}});
    DispatchGrants(endpoint);
    NotifyLoadChange(endpoint);
  });
}

// Offers slots again, one at first, once the replica is no longer closed.
auto ReopenAfter(Endpoint& endpoint, core::Duration delay) -> void {
  runtime::SleepFor(delay);
  const bool reopened = endpoint.admission.With([](AdmissionTable& table) {
    auto& slots = table.admission.slots;
    if (slots.requested_limit != 0 || table.closed_until > node::Now()) return false;
    slots.requested_limit = 1;
    StartStagedRequests(table);
    return true;
  });
  if (!reopened) return;
  DispatchGrants(endpoint);
  NotifyLoadChange(endpoint);
}

auto HandleClosed(Endpoint& endpoint, core::Duration delay) -> void {
  endpoint.admission.With([&](AdmissionTable& table) {
    table.closed_until = std::max(table.closed_until, node::Now() + delay);
    table.admission.slots.requested_limit = 0;
    RefundGrants(endpoint, table, admission::RevokeAllGrants(table.admission));
    RefuseStagedRequests(table);
  });
  const auto delay_ms = std::chrono::duration_cast<std::chrono::milliseconds>(delay);
  telemetry::Log(Level::info, Event::replica_closed,
                 {{"peer", settings::FormatAddress(endpoint.node.settings.replica)},
                  {"delay_ms", std::to_string(delay_ms.count())}});
  NotifyLoadChange(endpoint);
  runtime::Spawn([&endpoint, delay] { ReopenAfter(endpoint, delay); });
}

}  // namespace

auto ReadReplicaWord(const net::HttpResponseHead& head) -> ReplicaWord {
  ReplicaWord word;
  word.leaving = net::FindHeader(head.headers, kLeavingHeader) == "1";
  if (head.status != kServiceUnavailable) return word;
  word.refused = net::FindHeader(head.headers, "X-Outcome") == core::Name(core::Outcome::not_run);
  word.closed_for = ParseSeconds(net::FindHeader(head.headers, "Retry-After"));
  return word;
}

auto ApplyReplicaWord(Endpoint& endpoint, const ReplicaWord& word) -> void {
  if (word.leaving) HandleLeaving(endpoint);
  if (word.closed_for) {
    HandleClosed(endpoint, *word.closed_for);
  } else if (!word.refused) {
    endpoint.admission.With(
        [](AdmissionTable& table) { admission::RaiseRequestedLimit(table.admission.slots); });
  }
}

}  // namespace filbertstair::endpoint
