#include <time.h>

#include <set>

#include "state.h"

namespace filbertstair::relay {
namespace {

using telemetry::Event;
using telemetry::Level;

// Time without a confirmation that counts as an outage of the platform's list: two missed answers.
constexpr core::Duration kListOutage = std::chrono::milliseconds(2500);
// After an outage of the platform's list, and after the store was restored from an older copy, live
// replicas are listed again within about two seconds.
constexpr core::Duration kDelistGrace = std::chrono::milliseconds(2300);

auto LogListing(std::string_view id, std::string_view service, std::string_view state) -> void {
  telemetry::Log(Level::info, Event::replica_changed,
                 {{"peer", id},
                  {"service", service},
                  {"state", state},
                  {"source", core::Name(ReportSource::list)}});
}

// Delists a replica, at once or after the grace period. Call with the table locked.
auto DelistLocked(DispatchTable& table, const std::string& id) -> void {
  const auto now = node::Now();
  const bool in_grace = table.delist_grace_until > now;
  direct::DelistReplica(table.replicas, id, in_grace ? table.delist_grace_until : core::Time{});
  LogListing(id, "", in_grace ? "missing" : "gone");
}

// Keeps replicas that are missing from the list for the grace period. Call with the table locked.
auto ExtendGraceLocked(DispatchTable& table) -> void {
  table.delist_grace_until = std::max(table.delist_grace_until, node::Now() + kDelistGrace);
}

// Applies a listing. Returns whether it is in use. Call with the table locked.
auto UpsertLocked(Relay& relay, DispatchTable& table, direct::Listing listing) -> bool {
  const auto* existing = direct::FindReplica(table.replicas, listing.service, listing.id);
  auto previous = existing == nullptr ? direct::Listing() : existing->listing;
  // Changes with each check-in of a cold replica.
  previous.cold_left = listing.cold_left;
  const bool changed = existing == nullptr || existing->removed || !(previous == listing);
  const auto service = listing.service;
  const auto id = listing.id;
  const auto state = listing.state;
  const auto claimed = listing;
  direct::RecordWritten(table.withdrawn, id);
  if (!direct::ApplyListing(table.replicas, relay.policies.disputes, std::move(listing),
                            node::Now())) {
    LogListing(id, service, "disputed");
    ResolveUnplaceable(relay, table);
    return false;
  }
  ApplyColdListing(relay, table, claimed);
  if (changed) {
    LogListing(id, service, core::Name(state));
    AssignWaiting(relay, table, service);
    ResolveUnplaceable(relay, table);
  }
  return true;
}

// Assigns or refuses the waiting requests after a change of the evacuated failure domains. Call
// with the table locked.
auto ReassignWaiting(Relay& relay, DispatchTable& table) -> void {
  for (const auto& [service, queue] : table.queues) AssignWaiting(relay, table, service);
  ResolveUnplaceable(relay, table);
}

auto LogEvacuation(const direct::EvacuationChange& change) -> void {
  telemetry::Log(Level::warning, Event::evacuation_changed,
                 {{"failure_domain", change.failure_domain},
                  {"state", change.evacuated ? "begun" : "ended"},
                  {"replicas", std::to_string(change.replicas)}});
}

// Puts the evacuations in force that `replace` returns for the known ones.
template <typename Replace>
auto ApplyEvacuations(Relay& relay, Replace&& replace) -> void {
  const auto changes = relay.dispatch.With([&](DispatchTable& table) {
    table.evacuations = replace(table.evacuations, node::Now());
    std::set<std::string> failure_domains;
    for (const auto& [failure_domain, until] : table.evacuations) {
      failure_domains.insert(failure_domain);
    }
    auto changed = direct::ReplaceEvacuations(table.replicas, failure_domains);
    if (!changed.empty()) ReassignWaiting(relay, table);
    return changed;
  });
  for (const auto& change : changes) LogEvacuation(change);
}

}  // namespace

auto TimeSinceBoot() -> core::Duration {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::duration_cast<core::Duration>(std::chrono::nanoseconds(time.tv_nsec));
}

auto CurrentFleet(Relay& relay) -> std::shared_ptr<const direct::FleetConfig> {
  return relay.fleet.With([](const auto& fleet) { return fleet; });
}

auto FleetLease(Relay& relay) -> core::Duration {
  const auto confirmed_us = relay.confirmed_at_us.load();
  if (confirmed_us == 0) return core::Duration::zero();
  return direct::RemainingCredentialLease(core::Duration(confirmed_us), TimeSinceBoot());
}

auto HasCurrentFleet(Relay& relay) -> bool {
#ifdef FILBERTSTAIR_BROKEN_lease
  return CurrentFleet(relay) != nullptr;
#endif
  return FleetLease(relay) > core::Duration::zero();
}

auto AcceptFleet(Relay& relay, direct::FleetConfig fleet) -> bool {
  const auto version = fleet.version;
  const auto next = std::make_shared<const direct::FleetConfig>(std::move(fleet));
  const bool accepted = relay.fleet.With([&](std::shared_ptr<const direct::FleetConfig>& current) {
    if (current != nullptr && current->version >= version) return false;
    current = next;
    return true;
  });
  if (!accepted) return false;
  relay.dispatch.With([&](DispatchTable& table) {
    table.replicas.cold.services.clear();
    for (const auto& [service, spec] : next->services) {
      table.replicas.cold.services[service] = {spec.cold_time, spec.cold_rate};
      if (spec.cold_rate > 0) ServeNewestFirst(relay, table, service);
    }
  });
  relay.node.metrics.Set(telemetry::Metric::config_version, static_cast<double>(version), "fleet");
  telemetry::Log(Level::info, Event::object_accepted,
                 {{"object", "fleet"},
                  {"version", std::to_string(version)},
                  {"routes", std::to_string(next->routes.size())}});
  return true;
}

auto AcceptListing(Relay& relay, direct::Listing listing) -> void {
  const bool in_use = relay.dispatch.With(
      [&](DispatchTable& table) { return UpsertLocked(relay, table, listing); });
  if (in_use) ConfirmCrashes(relay, {listing});
}

auto AcceptDelisting(Relay& relay, const std::string& id) -> void {
  relay.dispatch.With([&](DispatchTable& table) {
    direct::RecordGone(table.withdrawn, table.replicas, id, node::Now());
    direct::DropDispute(table.replicas, id);
    if (table.replicas.service_of.contains(id)) DelistLocked(table, id);
    ResolveUnplaceable(relay, table);
  });
}

auto ReplaceListings(Relay& relay, std::vector<direct::Listing> listings, direct::ReadOrigin origin)
    -> void {
  std::vector<direct::Listing> in_use;
  relay.dispatch.With([&](DispatchTable& table) {
    const auto now = node::Now();
    if (origin == direct::ReadOrigin::copy) {
      ExtendGraceLocked(table);
      direct::RecordLeavingStarts(table.replicas, table.withdrawn, now);
    }
    std::set<std::string> missing;
    for (const auto& [id, service] : table.replicas.service_of) missing.insert(id);
    for (const auto& [id, dispute] : table.replicas.disputes) missing.insert(id);
    for (auto& listing : listings) {
      const auto use = direct::JudgeListing(table.replicas, table.withdrawn, listing, origin);
      if (use == direct::ListingUse::outdated) continue;
      missing.erase(listing.id);
      if (use == direct::ListingUse::hold) {
        const bool is_new = direct::HoldListing(table.withdrawn, table.replicas, listing, now);
        if (is_new) LogListing(listing.id, listing.service, "held");
      } else if (UpsertLocked(relay, table, listing)) {
        in_use.push_back(std::move(listing));
      }
    }
    for (const auto& id : missing) {
      // A copy that lacks a replica does not show that it is gone.
      if (origin == direct::ReadOrigin::current) {
        direct::RecordGone(table.withdrawn, table.replicas, id, now);
      }
      direct::DropDispute(table.replicas, id);
      DelistLocked(table, id);
    }
    ResolveUnplaceable(relay, table);
  });
  ConfirmCrashes(relay, in_use);
}

auto AcceptEvacuation(Relay& relay, const std::string& failure_domain, bool on) -> void {
  const auto change = relay.dispatch.With([&](DispatchTable& table) {
    table.evacuations.erase(failure_domain);
    if (on) table.evacuations[failure_domain] = core::Time::max();
    auto changed = direct::SetEvacuation(table.replicas, failure_domain, on);
    if (changed) ReassignWaiting(relay, table);
    return changed;
  });
  if (change) LogEvacuation(*change);
}

auto ReplaceEvacuations(Relay& relay, std::vector<std::string> failure_domains,
                        direct::ReadOrigin origin) -> void {
  ApplyEvacuations(relay, [&](const direct::HeldKeys& known, core::Time now) {
    return direct::ReplaceKeys(known, {failure_domains.begin(), failure_domains.end()}, origin,
                               relay.policies.restored, now);
  });
}

auto EndExpiredEvacuations(Relay& relay) -> void {
  ApplyEvacuations(relay, [](direct::HeldKeys known, core::Time now) {
    std::erase_if(known, [now](const auto& item) { return item.second <= now; });
    return known;
  });
}

auto RecordPlatformAnswer(Relay& relay, core::Duration time) -> void {
  const core::Duration previous{relay.confirmed_at_us.load()};
  if (previous == core::Duration::zero() || time - previous < kListOutage) return;
  relay.dispatch.With([&](DispatchTable& table) { ExtendGraceLocked(table); });
}

auto RecordConfirmation(Relay& relay, core::Duration time) -> void {
  relay.confirmed_at_us = time.count();
}

}  // namespace filbertstair::relay
