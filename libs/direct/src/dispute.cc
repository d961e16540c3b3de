#include "filbertstair/direct/dispute.h"

#include <optional>
#include <utility>
#include <vector>

namespace filbertstair::direct {
namespace {

auto HasSamePlace(const Listing& listing, const Listing& other) -> bool {
  return listing.service == other.service && listing.address == other.address;
}

// Returns the listing that is known of the replica, with the latest start that was listed.
auto FindKnown(ReplicaTable& table, const std::string& id) -> std::optional<Listing> {
  const auto dispute = table.disputes.find(id);
  if (dispute != table.disputes.end()) return dispute->second.known;
  const auto* replica = FindListedReplica(table, id);
  if (replica == nullptr) return std::nullopt;
  auto known = replica->listing;
  known.started_ms = replica->latest_start_ms;
  return known;
}

}  // namespace

auto ApplyListing(ReplicaTable& table, const DisputePolicy& policy, Listing listing, core::Time now)
    -> bool {
  const auto known = FindKnown(table, listing.id);
  if (!known || listing.started_ms > known->started_ms || HasSamePlace(listing, *known)) {
    DropDispute(table, listing.id);
    UpsertReplica(table, std::move(listing));
    return true;
  }
  DelistReplica(table, listing.id, core::Time{});
  const auto [dispute, is_new] = table.disputes.try_emplace(listing.id);
  if (is_new || !HasSamePlace(dispute->second.claim, listing)) {
    dispute->second = {*known, {}, now + policy.settle_time};
  }
  dispute->second.claim = std::move(listing);
  return false;
}

auto SettleDisputes(ReplicaTable& table, core::Time now) -> void {
  std::vector<Listing> settled;
  std::erase_if(table.disputes, [&](auto& item) {
    if (item.second.settles_at > now) return false;
    settled.push_back(std::move(item.second.claim));
    return true;
  });
  for (auto& listing : settled) UpsertReplica(table, std::move(listing));
}

auto DropDispute(ReplicaTable& table, const std::string& id) -> void { table.disputes.erase(id); }

}  // namespace filbertstair::direct
