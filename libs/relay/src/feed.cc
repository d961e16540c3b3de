#include <time.h>

#include <set>

#include "state.h"

namespace filbertstair::relay {
namespace {

using telemetry::Event;
using telemetry::Level;

// Time since the last confirmation that counts as an outage of the platform's list: two missed
// answers.
constexpr core::Duration kOutage = std::chrono::milliseconds(2500);
// After an outage of the platform's list, live replicas are back in it within about two seconds.
constexpr core::Duration kForgiveTime = std::chrono::milliseconds(2300);

auto LogListing(std::string_view id, std::string_view service, std::string_view state) -> void {
  telemetry::Log(Level::info, Event::replica_changed,
                 {{"peer", id}, {"service", service}, {"state", state}});
}

// Delists a replica, at once or after the time in which it may come back. The table is locked.
auto DelistLocked(DispatchTable& table, const std::string& id) -> void {
  const auto now = node::Now();
  const bool forgiven = table.forgive_until > now;
  direct::DelistReplica(table.replicas, id, forgiven ? table.forgive_until : core::Time{});
  LogListing(id, "", forgiven ? "missing" : "gone");
}

auto UpsertLocked(Relay& relay, DispatchTable& table, direct::Listing listing) -> void {
  const auto* known = direct::FindReplica(table.replicas, listing.service, listing.id);
  const bool changed = known == nullptr || !(known->listing == listing);
  const auto service = listing.service;
  if (changed) LogListing(listing.id, service, core::Name(listing.state));
  direct::UpsertReplica(table.replicas, std::move(listing));
  if (changed) AssignWaiting(relay, table, service);
}

}  // namespace

auto BootTime() -> core::Duration {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::duration_cast<core::Duration>(std::chrono::nanoseconds(time.tv_nsec));
}

auto CurrentFleet(Relay& relay) -> std::shared_ptr<const direct::FleetConfig> {
  return relay.fleet.With([](const auto& fleet) { return fleet; });
}

auto FleetLease(Relay& relay) -> core::Duration {
  const auto confirmed = relay.confirmed.load();
  if (confirmed == 0) return core::Duration::zero();
  return direct::RemainingCredentialLease(core::Duration(confirmed), BootTime());
}

auto HasCurrentFleet(Relay& relay) -> bool { return FleetLease(relay) > core::Duration::zero(); }

auto AcceptFleet(Relay& relay, direct::FleetConfig fleet) -> bool {
  const auto version = fleet.version;
  const auto next = std::make_shared<const direct::FleetConfig>(std::move(fleet));
  const bool accepted = relay.fleet.With([&](std::shared_ptr<const direct::FleetConfig>& current) {
    if (current != nullptr && current->version >= version) return false;
    current = next;
    return true;
  });
  if (!accepted) return false;
  relay.node.metrics.Set(telemetry::Metric::config_version, static_cast<double>(version), "fleet");
  telemetry::Log(Level::info, Event::object_accepted,
                 {{"object", "fleet"},
                  {"version", std::to_string(version)},
                  {"routes", std::to_string(next->routes.size())}});
  return true;
}

auto AcceptListing(Relay& relay, direct::Listing listing) -> void {
  relay.dispatch.With(
      [&](DispatchTable& table) { UpsertLocked(relay, table, std::move(listing)); });
}

auto AcceptDelisting(Relay& relay, const std::string& id) -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    if (table.replicas.service_of.contains(id)) DelistLocked(table, id);
  });
}

auto AcceptListings(Relay& relay, std::vector<direct::Listing> listings) -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    std::set<std::string> missing;
    for (const auto& [id, service] : table.replicas.service_of) missing.insert(id);
    for (auto& listing : listings) {
      missing.erase(listing.id);
      UpsertLocked(relay, table, std::move(listing));
    }
    for (const auto& id : missing) DelistLocked(table, id);
  });
}

auto NoteAnswer(Relay& relay, core::Duration time) -> void {
  const core::Duration previous{relay.confirmed.load()};
  if (previous == core::Duration::zero() || time - previous < kOutage) return;
  relay.dispatch.With([&](DispatchTable& table) {
    table.forgive_until = std::max(table.forgive_until, node::Now() + kForgiveTime);
  });
}

auto Confirm(Relay& relay, core::Duration time) -> void { relay.confirmed = time.count(); }

}  // namespace filbertstair::relay
