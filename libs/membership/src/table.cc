#include "filbertstair/membership/table.h"

#include <algorithm>
#include <utility>

namespace filbertstair::membership {
namespace {

using States = std::map<std::string, MemberState>;

auto AllStates(const MemberTable& table) -> States {
  States states;
  for (const auto& [id, member] : table.members)
    states.emplace_hint(states.end(), id, StateOf(table, id));
  return states;
}

// Changes since `before`. Members of one side only count as gone on the other.
auto ChangesSince(const MemberTable& table, const States& before) -> std::vector<Change> {
  std::vector<Change> changes;
  auto after = AllStates(table);
  for (const auto& [id, state] : before) {
    const auto found = after.find(id);
    const auto now = found == after.end() ? MemberState::gone : found->second;
    if (now != state) changes.push_back({id, state, now});
    if (found != after.end()) after.erase(found);
  }
  for (const auto& [id, state] : after) {
    if (state != MemberState::gone) changes.push_back({id, MemberState::gone, state});
  }
  return changes;
}

auto RowLeaving(const MemberTable& table, const Vm& row) -> bool {
  if (row.state == VmState::leaving) return true;
  return row.role == core::Role::endpoint && table.pools && !table.pools->contains(row.pool);
}

}  // namespace

auto Observe(MemberTable& table, const VmList& list) -> std::vector<Change> {
  if (list.revision <= table.revision) return {};
  const auto before = AllStates(table);
  table.revision = list.revision;
  for (auto& [id, member] : table.members) member.row.reset();
  for (const auto& vm : list.vms) table.members[vm.id].row = vm;
  std::erase_if(table.members, [](const auto& entry) {
    return !entry.second.row && !entry.second.link.silent_since;
  });
  return ChangesSince(table, before);
}

auto SetPools(MemberTable& table, std::set<std::string> pools) -> std::vector<Change> {
  const auto before = AllStates(table);
  table.pools = std::move(pools);
  return ChangesSince(table, before);
}

auto Heard(MemberTable& table, const std::string& peer, core::Incarnation incarnation,
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

auto LinkDown(MemberTable& table, const std::string& peer, core::Incarnation incarnation,
              core::Time now) -> void {
  auto& link = table.members[peer].link;
  if (incarnation < link.incarnation && (incarnation != 0 || link.connected)) return;
  link.connected = false;
  if (!link.silent_since) link.silent_since = now;
}

auto Evaluate(MemberTable& table, core::Time now) -> std::vector<Change> {
  const auto paused = table.evaluated && now - *table.evaluated > table.rules.max_pause;
  table.evaluated = now;
  std::vector<Change> changes;
  for (auto it = table.members.begin(); it != table.members.end();) {
    auto& [id, member] = *it;
    auto& link = member.link;
    if (!link.silent_since) {
      ++it;
      continue;
    }
    if (paused) link.silent_since = std::max(*link.silent_since, now);
    const auto silence = now - *link.silent_since;
    const auto limit = link.connected ? table.rules.suspect_after : table.rules.suspect_after_down;
    if (!link.suspected && silence >= limit) {
      const auto before = StateOf(table, id);
      link.suspected = true;
      const auto after = StateOf(table, id);
      if (before != after) changes.push_back({id, before, after});
    }
    const bool listed = member.row || table.revision == 0;
    it = !listed && !link.connected && silence >= table.rules.forget_after ? table.members.erase(it)
                                                                           : std::next(it);
  }
  return changes;
}

auto StateOf(const MemberTable& table, const std::string& id) -> MemberState {
  const auto found = table.members.find(id);
  if (found == table.members.end()) return MemberState::gone;
  const auto& [row, link] = found->second;
  if (!row && (table.revision != 0 || link.incarnation == 0)) return MemberState::gone;
  if (link.draining || (row && RowLeaving(table, *row))) return MemberState::leaving;
  return link.suspected ? MemberState::suspected : MemberState::live;
}

auto SelfLeaving(const MemberTable& table, const std::string& self) -> bool {
  const auto found = table.members.find(self);
  return found != table.members.end() && found->second.row && RowLeaving(table, *found->second.row);
}

auto Members(const MemberTable& table, core::Role role, const std::string& region)
    -> std::vector<std::string> {
  std::vector<std::string> ids;
  for (const auto& [id, member] : table.members) {
    if (!member.row || member.row->role != role) continue;
    if (!region.empty() && member.row->region != region) continue;
    const auto state = StateOf(table, id);
    if (state == MemberState::live || state == MemberState::suspected) ids.push_back(id);
  }
  return ids;
}

}  // namespace filbertstair::membership
