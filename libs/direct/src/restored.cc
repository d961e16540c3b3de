#include "filbertstair/direct/restored.h"

#include <algorithm>
#include <utility>

#include "filbertstair/direct/availability.h"

namespace filbertstair::direct {
namespace {

auto FindListed(const ReplicaTable& table, const std::string& id) -> const Replica* {
  const auto service = table.service_of.find(id);
  if (service == table.service_of.end()) return nullptr;
  const auto replicas = table.services.find(service->second);
  if (replicas == table.services.end()) return nullptr;
  const auto found = replicas->second.find(id);
  return found == replicas->second.end() ? nullptr : &found->second;
}

auto IsLeavingNow(const Replica& replica) -> bool {
  return replica.listing.state == ReplicaState::leaving || replica.told_leaving;
}

// Whether the copy lists a start as ready that was seen leaving.
auto BringsBack(const Replica& replica, const Listing& listing) -> bool {
  return replica.listing.state == ReplicaState::leaving && listing.state == ReplicaState::ready &&
         listing.started_ms <= replica.latest_start_ms;
}

}  // namespace

auto ObserveEra(EraState& state, std::optional<std::uint64_t> era) -> EraStep {
  const bool was_readable = std::exchange(state.readable, era.has_value());
  if (!era) return {was_readable ? EraChange::unreadable : EraChange::none, 0};
  const auto previous = std::exchange(state.current, *era);
  const auto highest = std::exchange(state.highest, std::max(state.highest, *era));
  // After unreadable eras alone, nothing shows that the contents in use are of this era.
  if (!previous) return {was_readable ? EraChange::none : EraChange::risen, 0};
  if (*previous == *era) return {};
  return {*era > *previous ? EraChange::risen : EraChange::fallen, state.highest - highest};
}

auto RecordGone(WithdrawnReplicas& withdrawn, const ReplicaTable& table, const std::string& id,
                core::Time now) -> void {
  const auto known = withdrawn.find(id);
  if (known != withdrawn.end()) known->second.held = false;
  if (const auto* replica = FindListed(table, id)) {
    withdrawn[id] = {replica->latest_start_ms, IsLeavingNow(*replica), false, now};
    return;
  }
  const auto dispute = table.disputes.find(id);
  if (dispute == table.disputes.end()) return;
  const auto& listing = dispute->second.known;
  withdrawn[id] = {listing.started_ms, listing.state == ReplicaState::leaving, false, now};
}

auto RecordWritten(WithdrawnReplicas& withdrawn, const std::string& id) -> void {
  withdrawn.erase(id);
}

auto RecordLeavingStarts(ReplicaTable& table, const WithdrawnReplicas& withdrawn, core::Time now)
    -> void {
  for (const auto& [id, service] : table.service_of) {
    const auto* replica = FindListed(table, id);
    if (replica == nullptr || replica->listing.state != ReplicaState::leaving) continue;
    if (replica->listing.started_ms == 0) continue;
    RecordLeaving(table, id, replica->listing.started_ms, now);
  }
  for (const auto& [id, gone] : withdrawn) {
    if (gone.leaving && gone.started_ms != 0) RecordLeaving(table, id, gone.started_ms, now);
  }
}

auto JudgeListing(const ReplicaTable& table, const WithdrawnReplicas& withdrawn,
                  const Listing& listing, ReadOrigin origin) -> ListingUse {
  const auto gone = withdrawn.find(listing.id);
  if (gone != withdrawn.end() && listing.started_ms <= gone->second.started_ms &&
      (gone->second.held || origin == ReadOrigin::copy)) {
    return ListingUse::hold;
  }
  if (origin == ReadOrigin::current) return ListingUse::apply;
  const auto* replica = FindListed(table, listing.id);
  if (replica == nullptr) return ListingUse::apply;
  if (BringsBack(*replica, listing)) return ListingUse::hold;
  return listing.started_ms < replica->latest_start_ms ? ListingUse::outdated : ListingUse::apply;
}

auto HoldListing(WithdrawnReplicas& withdrawn, const ReplicaTable& table, const Listing& listing,
                 core::Time now) -> bool {
  const auto [entry, is_new] = withdrawn.try_emplace(listing.id);
  auto& held = entry->second;
  const auto* replica = FindListed(table, listing.id);
  if (is_new && replica != nullptr) {
    held.started_ms = replica->latest_start_ms;
    held.leaving = IsLeavingNow(*replica);
  }
  held.started_ms = std::max(held.started_ms, listing.started_ms);
  held.recorded_at = now;
  return !std::exchange(held.held, true);
}

auto ForgetWithdrawn(WithdrawnReplicas& withdrawn, const RestoredPolicy& policy, core::Time now)
    -> void {
  std::erase_if(withdrawn, [&](const auto& item) {
    return !item.second.held && now - item.second.recorded_at > policy.remember_gone;
  });
}

auto ReplaceKeys(const HeldKeys& known, const std::set<std::string>& listed, ReadOrigin origin,
                 const RestoredPolicy& policy, core::Time now) -> HeldKeys {
  HeldKeys held;
  for (const auto& [key, until] : known) {
    const bool waits = origin == ReadOrigin::copy || until != core::Time::max();
    if (waits && until > now) held[key] = std::min(until, now + policy.key_grace);
  }
  for (const auto& key : listed) held[key] = core::Time::max();
  return held;
}

auto IsInForce(const HeldKeys& held, const std::string& key, core::Time now) -> bool {
  const auto found = held.find(key);
  return found != held.end() && found->second > now;
}

}  // namespace filbertstair::direct
