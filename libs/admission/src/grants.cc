#include "filbertstair/admission/grants.h"

#include <algorithm>

namespace filbertstair::admission {
namespace {

auto IsExpired(const Grant& grant, core::Time now) -> bool {
#ifdef FILBERTSTAIR_BROKEN_grant_expiry
  static_cast<void>(grant);
  static_cast<void>(now);
  return false;
#else
  return now >= grant.expires_at;
#endif
}

// Releases the grant's slot, updates the demand counts and removes the grant from the table.
auto EndGrant(GrantTable& grants, Slots& slots, DemandTable& demand,
              std::map<GrantId, Grant>::iterator grant, bool answered) -> Grant {
  auto ended = std::move(grant->second);
  grants.outstanding.erase(grant);
  --slots.granted;
  // A newer incarnation of the entry reported its demand anew, without this grant.
  const auto source = demand.sources.find(ended.entry);
  if (source != demand.sources.end() && source->second.incarnation == ended.entry_incarnation) {
    CountGrantEnd(demand, ended.demand, ended.entry, answered);
  }
  return ended;
}

}  // namespace

auto GrantTimeToLive(core::Duration round_trip) -> core::Duration {
  return std::max<core::Duration>(std::chrono::milliseconds(500), 4 * round_trip);
}

auto IssueGrant(GrantTable& grants, Slots& slots, DemandTable& demand, const DemandKey& key,
                const std::string& entry, core::Time expires_at) -> Grant {
  const auto source = demand.sources.find(entry);
  Grant grant{.id = ++grants.last_id,
              .granter = grants.incarnation,
              .entry = entry,
              .entry_incarnation = source == demand.sources.end() ? 0 : source->second.incarnation,
              .demand = key,
              .expires_at = expires_at};
  grants.outstanding.emplace(grant.id, grant);
  ++slots.granted;
  CountGrant(demand, key, entry);
  return grant;
}

auto RedeemGrant(GrantTable& grants, Slots& slots, DemandTable& demand, const GrantClaim& claim,
                 core::Time now) -> std::optional<Refusal> {
  const auto refuse = [](core::Reason reason) {
    return Refusal{.reason = reason, .status = AttemptStatus::not_run};
  };
  if (claim.granter != grants.incarnation) return refuse(core::Reason::stale_incarnation);
  SetPaused(demand, claim.entry, claim.entry_incarnation, false);
  const auto found = grants.outstanding.find(claim.id);
  if (found == grants.outstanding.end()) return refuse(core::Reason::grant_expired);
  const auto& grant = found->second;
  if (grant.entry != claim.entry) return refuse(core::Reason::internal_error);
  if (grant.entry_incarnation != claim.entry_incarnation) {
    return refuse(core::Reason::stale_incarnation);
  }
  if (grant.demand.service != claim.service || grant.demand.workspace != claim.workspace) {
    EndGrant(grants, slots, demand, found, false);
    return refuse(core::Reason::internal_error);
  }
  const auto expired = IsExpired(grant, now);
  EndGrant(grants, slots, demand, found, !expired);
  if (expired) return refuse(core::Reason::grant_expired);
  return std::nullopt;
}

auto ReturnGrant(GrantTable& grants, Slots& slots, DemandTable& demand, const GrantClaim& claim,
                 core::Time now) -> bool {
  if (claim.granter != grants.incarnation) return false;
  SetPaused(demand, claim.entry, claim.entry_incarnation, false);
  const auto found = grants.outstanding.find(claim.id);
  if (found == grants.outstanding.end() || found->second.entry != claim.entry ||
      found->second.entry_incarnation != claim.entry_incarnation) {
    return false;
  }
  const auto expired = IsExpired(found->second, now);
  EndGrant(grants, slots, demand, found, !expired);
  return !expired;
}

auto ExpireGrants(GrantTable& grants, Slots& slots, DemandTable& demand, core::Time now)
    -> std::vector<Grant> {
  std::vector<Grant> expired;
  for (auto grant = grants.outstanding.begin(); grant != grants.outstanding.end();) {
    const auto next = std::next(grant);
    if (IsExpired(grant->second, now)) {
      expired.push_back(EndGrant(grants, slots, demand, grant, false));
      SetPaused(demand, expired.back().entry, expired.back().entry_incarnation, true);
    }
    grant = next;
  }
  return expired;
}

auto RevokeEntryGrants(GrantTable& grants, Slots& slots, DemandTable& demand,
                       const std::string& entry, core::Incarnation entry_incarnation)
    -> std::vector<Grant> {
  std::vector<Grant> dropped;
  for (auto grant = grants.outstanding.begin(); grant != grants.outstanding.end();) {
    const auto next = std::next(grant);
    if (grant->second.entry == entry && grant->second.entry_incarnation == entry_incarnation) {
      dropped.push_back(EndGrant(grants, slots, demand, grant, false));
    }
    grant = next;
  }
  return dropped;
}

auto NextGrantExpiry(const GrantTable& grants) -> std::optional<core::Time> {
  std::optional<core::Time> next;
  for (const auto& [id, grant] : grants.outstanding) {
    if (!next || grant.expires_at < *next) next = grant.expires_at;
  }
  return next;
}

}  // namespace filbertstair::admission
