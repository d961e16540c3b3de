#include "filbertstair/direct/residency.h"

#include <algorithm>

namespace filbertstair::direct {
namespace {

auto Restricts(const RegionList* list) -> bool { return list != nullptr && !list->empty(); }

auto Permits(const RegionList* list, const std::string* region) -> bool {
  if (!Restricts(list)) return true;
  return region != nullptr && std::find(list->begin(), list->end(), *region) != list->end();
}

}  // namespace

auto FindResidency(const FleetConfig& fleet, const Route& route, const std::string& workspace)
    -> Residency {
  const auto found = fleet.workspace_regions.find(workspace);
  return {&route.allowed_regions,
          found == fleet.workspace_regions.end() ? nullptr : &found->second};
}

auto IsRestricted(const Residency& residency) -> bool {
  return Restricts(residency.route) || Restricts(residency.workspace);
}

auto IsAllowedRegion(const Residency& residency, const std::string* region) -> bool {
  return Permits(residency.route, region) && Permits(residency.workspace, region);
}

auto IsAllowedDomain(const Residency& residency, const std::map<std::string, std::string>& regions,
                     const std::string& failure_domain) -> bool {
  if (!IsRestricted(residency)) return true;
  const auto found = regions.find(failure_domain);
  return IsAllowedRegion(residency, found == regions.end() ? nullptr : &found->second);
}

}  // namespace filbertstair::direct
