#ifndef FILBERTSTAIR_DIRECT_RESIDENCY_H_
#define FILBERTSTAIR_DIRECT_RESIDENCY_H_

#include <map>
#include <string>
#include <vector>

#include "filbertstair/direct/fleet.h"

// Regions in which a request may be served. The lists of its route and of its workspace both apply.
namespace filbertstair::direct {

using RegionList = std::vector<std::string>;

// Restrictions of one request, which refer to the configuration that admitted it. A list that is
// missing or empty does not restrict.
struct Residency {
  const RegionList* route = nullptr;
  const RegionList* workspace = nullptr;
};

// Returns the restrictions of a request. `workspace` is empty on a public route.
auto FindResidency(const FleetConfig& fleet, const Route& route, const std::string& workspace)
    -> Residency;

auto IsRestricted(const Residency& residency) -> bool;

// Returns whether the request may be served in the region. Null stands for an unknown region, which
// is allowed only without a restriction.
auto IsAllowedRegion(const Residency& residency, const std::string* region) -> bool;

// The same for the region of a failure domain. `regions` gives the region by failure domain.
auto IsAllowedDomain(const Residency& residency, const std::map<std::string, std::string>& regions,
                     const std::string& failure_domain) -> bool;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_RESIDENCY_H_
