#include "filbertstair/direct/send_check.h"

#include "filbertstair/direct/availability.h"
#include "filbertstair/direct/evacuation.h"

namespace filbertstair::direct {

auto CheckSend(const ReplicaTable& table, const Origin& origin, const Replica* replica,
               const Residency& residency, core::Time now) -> SendVerdict {
  if (replica == nullptr || !MaySend(*replica, now)) return SendVerdict::unavailable;
  if (IsEvacuated(table, replica->listing)) return SendVerdict::evacuated;
  if (!IsAllowedDomain(residency, origin.regions, replica->listing.failure_domain)) {
    return SendVerdict::region_not_allowed;
  }
  return SendVerdict::allowed;
}

}  // namespace filbertstair::direct
