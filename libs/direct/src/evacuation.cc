#include "filbertstair/direct/evacuation.h"

#include <algorithm>
#include <iterator>

namespace filbertstair::direct {
namespace {

auto CountReplicas(const ReplicaTable& table, const std::string& failure_domain) -> std::size_t {
  std::size_t count = 0;
  for (const auto& [service, replicas] : table.services) {
    for (const auto& [id, replica] : replicas) {
      if (!replica.removed && replica.listing.failure_domain == failure_domain) ++count;
    }
  }
  return count;
}

}  // namespace

auto SetEvacuation(ReplicaTable& table, const std::string& failure_domain, bool on)
    -> std::optional<EvacuationChange> {
  if (table.evacuated_domains.contains(failure_domain) == on) return std::nullopt;
  if (on) {
    table.evacuated_domains.insert(failure_domain);
  } else {
    table.evacuated_domains.erase(failure_domain);
  }
  return EvacuationChange{failure_domain, on, CountReplicas(table, failure_domain)};
}

auto ReplaceEvacuations(ReplicaTable& table, const std::set<std::string>& failure_domains)
    -> std::vector<EvacuationChange> {
  std::vector<std::string> changed;
  std::set_symmetric_difference(table.evacuated_domains.begin(), table.evacuated_domains.end(),
                                failure_domains.begin(), failure_domains.end(),
                                std::back_inserter(changed));
  std::vector<EvacuationChange> changes;
  for (const auto& domain : changed) {
    if (const auto change = SetEvacuation(table, domain, failure_domains.contains(domain))) {
      changes.push_back(*change);
    }
  }
  return changes;
}

auto IsEvacuated(const ReplicaTable& table, const Listing& listing) -> bool {
  return table.evacuated_domains.contains(listing.failure_domain);
}

}  // namespace filbertstair::direct
