#include "filbertstair/direct/availability.h"

#include <algorithm>

#include "filbertstair/direct/evacuation.h"

namespace filbertstair::direct {

auto RecordLeaving(ReplicaTable& table, const std::string& id, std::int64_t started_ms,
                   core::Time now) -> bool {
  auto& leaving = table.leaving[id];
  const bool is_new = leaving.recorded_at == core::Time{} || leaving.started_ms < started_ms;
  leaving = {std::max(leaving.started_ms, started_ms), now};
  auto* replica = FindListedReplica(table, id);
  if (replica != nullptr) replica->told_leaving = IsLeaving(table, replica->listing);
  return is_new;
}

auto ForgetLeaving(ReplicaTable& table, const AvailabilityPolicy& policy, core::Time now) -> void {
  std::erase_if(table.leaving, [&](const auto& item) {
    return now - item.second.recorded_at > policy.remember_leaving &&
           !table.service_of.contains(item.first);
  });
}

auto ForgetClosings(ReplicaTable& table, const AvailabilityPolicy& policy, core::Time now) -> void {
  std::erase_if(table.closings, [&](const auto& item) {
    return now - item.second.closed_until > policy.remember_closing;
  });
}

auto RecordClosed(Replica& replica, const AvailabilityPolicy& policy, core::Duration delay,
                  core::Time now) -> void {
  replica.closed_until =
      std::max(replica.closed_until, now + std::min(delay, policy.max_closed_time));
  replica.max_in_flight = 1;
}

auto IsClosed(const Replica& replica, core::Time now) -> bool { return replica.closed_until > now; }

auto FindReopening(const ReplicaTable& table, const Origin& origin, std::string_view service,
                   const Residency& residency, core::Time now) -> std::optional<core::Time> {
  const auto replicas = table.services.find(service);
  if (replicas == table.services.end()) return std::nullopt;
  std::optional<core::Time> reopens_at;
  for (const auto& [id, replica] : replicas->second) {
    if (!IsAllowedDomain(residency, origin.regions, replica.listing.failure_domain)) continue;
    if (IsEvacuated(table, replica.listing)) continue;
    if (MaySend(replica, now)) return std::nullopt;
    if (!MaySend(replica, replica.closed_until)) continue;
    reopens_at = std::min(reopens_at.value_or(core::Time::max()), replica.closed_until);
  }
  return reopens_at;
}

auto MaySend(const Replica& replica, core::Time now) -> bool {
  return !replica.told_leaving && !replica.removed &&
         replica.listing.state == ReplicaState::ready && !IsClosed(replica, now);
}

auto RecordReopeningSuccess(Replica& replica) -> void {
  if (replica.max_in_flight == 0) return;
  replica.max_in_flight *= 2;
  if (replica.max_in_flight >= replica.listing.slots) replica.max_in_flight = 0;
}

auto ReopenRetryDelay(core::Duration wait, core::Duration spread, double uniform_sample)
    -> core::Duration {
  return wait + std::chrono::duration_cast<core::Duration>(spread * uniform_sample);
}

}  // namespace filbertstair::direct
