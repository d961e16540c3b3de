#ifndef FILBERTSTAIR_DIRECT_EVACUATION_H_
#define FILBERTSTAIR_DIRECT_EVACUATION_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "filbertstair/direct/replicas.h"

// Evacuation of failure domains by the operator: nothing may be sent to their replicas. Requests in
// flight there continue.
namespace filbertstair::direct {

// Begin or end of the evacuation of a failure domain that has `replicas` listed replicas.
struct EvacuationChange {
  std::string failure_domain;
  bool evacuated = false;
  std::size_t replicas = 0;
};

// Records that the failure domain is evacuated or no longer is. One without replicas is kept, as
// some may be listed later. Returns nothing if that was known.
auto SetEvacuation(ReplicaTable& table, const std::string& failure_domain, bool on)
    -> std::optional<EvacuationChange>;

// Replaces the whole set of evacuated failure domains and returns the changes.
auto ReplaceEvacuations(ReplicaTable& table, const std::set<std::string>& failure_domains)
    -> std::vector<EvacuationChange>;

// Returns whether the listing is in an evacuated failure domain.
auto IsEvacuated(const ReplicaTable& table, const Listing& listing) -> bool;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_EVACUATION_H_
