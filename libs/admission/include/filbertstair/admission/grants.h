#ifndef FILBERTSTAIR_ADMISSION_GRANTS_H_
#define FILBERTSTAIR_ADMISSION_GRANTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "filbertstair/admission/demand.h"
#include "filbertstair/admission/refusal.h"
#include "filbertstair/admission/slots.h"
#include "filbertstair/core/types.h"

namespace filbertstair::admission {

// Id of a grant, unique within the granter's incarnation. 0 stands for no grant.
using GrantId = std::uint64_t;

// Permission for one entry to submit one request of one workspace to one endpoint process.
struct Grant {
  GrantId id = 0;
  // Incarnation of the endpoint process that issued the grant.
  core::Incarnation granter = 0;
  std::string entry;
  core::Incarnation entry_incarnation = 0;
  DemandKey demand;
  // On the clock of the granter.
  core::Time expires_at{};
};

// Outstanding grants: neither redeemed nor returned, and not yet expired.
struct GrantTable {
  core::Incarnation incarnation = 0;
  GrantId last_id = 0;
  std::map<GrantId, Grant> outstanding;
};

// Reference to a grant in a Submit or GrantReturn message, to be checked against the granter's
// table.
struct GrantClaim {
  GrantId id = 0;
  core::Incarnation granter = 0;
  std::string entry;
  core::Incarnation entry_incarnation = 0;
  std::string service;
  std::string workspace;
};

// Returns the time to live of a grant: four round trips, so that a delayed Submit still arrives in
// time, and at least 500 ms, so that a busy entry process is not treated as unresponsive.
auto GrantTimeToLive(core::Duration round_trip) -> core::Duration;

// Issues a grant to an entry selected by ChooseEntry. The caller has checked CanIssueGrant.
auto IssueGrant(GrantTable& grants, Slots& slots, DemandTable& demand, const DemandKey& key,
                const std::string& entry, core::Time expires_at) -> Grant;

// Redeems a grant for a submitted request, which the caller then starts or stages. Refuses a claim
// to an unknown or expired grant (grant_expired), a claim that names another granter or entry
// incarnation (stale_incarnation), and a claim for another entry, service or workspace
// (internal_error, since a correct entry never sends it); all with status not_run. A claim by the
// grant's own entry incarnation ends the grant even if it is refused.
auto RedeemGrant(GrantTable& grants, Slots& slots, DemandTable& demand, const GrantClaim& claim,
                 core::Time now) -> std::optional<Refusal>;

// Ends a grant that the entry does not need. Returns whether the grant was outstanding. The service
// and workspace of the claim are not compared.
auto ReturnGrant(GrantTable& grants, Slots& slots, DemandTable& demand, const GrantClaim& claim,
                 core::Time now) -> bool;

// Ends and returns the expired grants, and pauses the demand of the entries that let them expire.
auto ExpireGrants(GrantTable& grants, Slots& slots, DemandTable& demand, core::Time now)
    -> std::vector<Grant>;

// Ends and returns the outstanding grants of an entry whose control stream ended.
auto RevokeEntryGrants(GrantTable& grants, Slots& slots, DemandTable& demand,
                       const std::string& entry, core::Incarnation entry_incarnation)
    -> std::vector<Grant>;

// Returns the earliest expiry time, or nothing if no grant is outstanding.
auto NextGrantExpiry(const GrantTable& grants) -> std::optional<core::Time>;

}  // namespace filbertstair::admission

#endif  // FILBERTSTAIR_ADMISSION_GRANTS_H_
