#include "filbertstair/membership/table.h"

#include <algorithm>
#include <utility>

namespace filbertstair::membership {
namespace {

// Returns whether the VM list or the configuration documents take a VM out of service.
auto IsVmLeaving(const MemberTable& table, const Vm& row) -> bool {
  if (row.state == VmState::leaving) return true;
  return row.role == core::Role::endpoint && table.pools && !table.pools->contains(row.pool);
}

auto ComputeState(const MemberTable& table, const Member& member) -> MemberState {
  const auto& link = member.link;
  if (!member.row && (table.revision != 0 || link.incarnation == 0)) return MemberState::gone;
  if (link.draining || (member.row && IsVmLeaving(table, *member.row))) return MemberState::leaving;
  return link.suspected ? MemberState::suspected : MemberState::live;
}

// Appends the change of a member since its last reported state, if any, and marks it as reported.
auto CollectChange(const MemberTable& table, const std::string& id, Member& member,
                   std::vector<StateChange>& changes) -> void {
  const auto state = ComputeState(table, member);
  if (state != member.reported_state) changes.push_back({id, member.reported_state, state});
  member.reported_state = state;
}

auto CollectChanges(MemberTable& table) -> std::vector<StateChange> {
  std::vector<StateChange> changes;
  for (auto& [id, member] : table.members) CollectChange(table, id, member, changes);
  return changes;
}

}  // namespace

auto ApplyVmList(MemberTable& table, const VmList& list) -> std::vector<StateChange> {
  if (list.revision <= table.revision) return {};
  table.revision = list.revision;
  for (auto& [id, member] : table.members) member.row.reset();
  for (const auto& vm : list.vms) table.members[vm.id].row = vm;
  auto changes = CollectChanges(table);
  std::erase_if(table.members, [](const auto& entry) {
    return !entry.second.row && !entry.second.link.silent_since;
  });
  return changes;
}

auto SetPools(MemberTable& table, std::set<std::string> pools) -> std::vector<StateChange> {
  table.pools = std::move(pools);
  return CollectChanges(table);
}

auto RecordMessage(MemberTable& table, const std::string& peer, core::Incarnation incarnation,
                   bool draining, core::Time now) -> Freshness {
  auto& link = table.members[peer].link;
#ifndef FILBERTSTAIR_BROKEN_incarnation_order
  if (incarnation < link.incarnation) return Freshness::stale;
#endif
  link.draining = draining || (link.draining && incarnation == link.incarnation);
  link.incarnation = incarnation;
  link.connected = true;
  link.suspected = false;
  link.silent_since = std::max(now, link.silent_since.value_or(now));
  return Freshness::current;
}

auto RecordLinkDown(MemberTable& table, const std::string& peer, core::Incarnation incarnation,
                    core::Time now) -> void {
  auto& link = table.members[peer].link;
  if (incarnation < link.incarnation && (incarnation != 0 || link.connected)) return;
  link.connected = false;
  if (!link.silent_since) link.silent_since = now;
}

auto EvaluateSuspicion(MemberTable& table, core::Time now) -> std::vector<StateChange> {
  const auto paused = table.evaluated_at && now - *table.evaluated_at > table.rules.max_pause;
  table.evaluated_at = now;
  std::vector<StateChange> changes;
  for (auto& [id, member] : table.members) {
    auto& link = member.link;
    if (!link.silent_since) continue;
    if (paused) link.silent_since = std::max(*link.silent_since, now);
    const auto limit = link.connected ? table.rules.suspect_after : table.rules.suspect_after_down;
    link.suspected = link.suspected || now - *link.silent_since >= limit;
    CollectChange(table, id, member, changes);
  }
  std::erase_if(table.members, [&](const auto& entry) {
    const auto& [row, link, reported_state] = entry.second;
    if (row || table.revision == 0 || link.connected || !link.silent_since) return false;
    return now - *link.silent_since >= table.rules.forget_after;
  });
  return changes;
}

auto StateOf(const MemberTable& table, const std::string& id) -> MemberState {
  const auto found = table.members.find(id);
  return found == table.members.end() ? MemberState::gone : ComputeState(table, found->second);
}

auto MustDrain(const MemberTable& table, const std::string& self) -> bool {
  const auto found = table.members.find(self);
  return found != table.members.end() && found->second.row &&
         IsVmLeaving(table, *found->second.row);
}

auto ListMembers(const MemberTable& table, core::Role role, const std::string& region)
    -> std::vector<std::string> {
  std::vector<std::string> ids;
  for (const auto& [id, member] : table.members) {
    if (!member.row || member.row->role != role) continue;
    if (!region.empty() && member.row->region != region) continue;
    const auto state = ComputeState(table, member);
    if (state == MemberState::live || state == MemberState::suspected) ids.push_back(id);
  }
  return ids;
}

}  // namespace filbertstair::membership
