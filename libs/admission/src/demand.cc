#include "filbertstair/admission/demand.h"

#include <algorithm>

namespace filbertstair::admission {
namespace {

auto FindSource(DemandTable& table, const std::string& entry, core::Incarnation incarnation)
    -> DemandSource* {
  const auto found = table.sources.find(entry);
  if (found == table.sources.end()) return nullptr;
  return found->second.incarnation == incarnation ? &found->second : nullptr;
}

// Returns the number of waiting requests without a grant.
auto UngrantedRequests(const DemandRow& row) -> std::uint64_t {
  return row.waiting - std::min(row.waiting, row.granted);
}

// Applies `change` to a row and updates the sums of its group and of the table.
template <typename Change>
auto UpdateRow(DemandTable& table, const DemandSource& source, DemandGroup& group, DemandRow& row,
               Change change) -> void {
  const auto before = UngrantedRequests(row);
  change(row);
  if (source.paused) return;
  group.grantable += UngrantedRequests(row) - before;
  table.grantable += UngrantedRequests(row) - before;
}

// Removes a row once it has neither waiting requests nor outstanding grants, so that the end of
// every grant is counted.
auto RemoveRowIfEmpty(DemandTable& table, DemandSource& source, const DemandKey& key,
                      const std::string& entry) -> void {
  const auto group = table.groups.find(key);
  if (group == table.groups.end()) return;
  const auto row = group->second.rows.find(entry);
  if (row == group->second.rows.end() || row->second.waiting > 0 || row->second.granted > 0) return;
  group->second.rows.erase(row);
  source.keys.erase(key);
  if (group->second.rows.empty()) table.groups.erase(group);
}

auto RemoveRows(DemandTable& table, DemandSource& source, const std::string& entry) -> void {
  const auto keys = source.keys;
  for (const auto& key : keys) {
    auto& group = table.groups[key];
    UpdateRow(table, source, group, group.rows[entry], [](DemandRow& row) { row = {}; });
    RemoveRowIfEmpty(table, source, key, entry);
  }
}

// Sets the number of waiting requests of a row, and creates the row if needed.
auto SetWaiting(DemandTable& table, DemandSource& source, const DemandKey& key,
                const std::string& entry, std::uint32_t waiting) -> void {
  if (waiting > 0 || source.keys.contains(key)) {
    auto& group = table.groups[key];
    const auto [row, added] = group.rows.try_emplace(entry);
    if (added) {
      row->second.last_grant = table.grants_issued;
      source.keys.insert(key);
    }
    UpdateRow(table, source, group, row->second,
              [waiting](DemandRow& changed) { changed.waiting = waiting; });
    RemoveRowIfEmpty(table, source, key, entry);
  }
}

auto SetWaitingItems(DemandTable& table, DemandSource& source, const std::string& entry,
                     std::span<const DemandItem> items) -> void {
  for (const auto& item : items) {
    SetWaiting(table, source, {item.service, item.workspace, source.region}, entry, item.waiting);
  }
}

// Applies `change` to an entry's row if it exists.
template <typename Change>
auto UpdateExistingRow(DemandTable& table, const DemandKey& key, const std::string& entry,
                       Change change) -> void {
  const auto source = table.sources.find(entry);
  if (source == table.sources.end() || !source->second.keys.contains(key)) return;
  auto& group = table.groups[key];
  UpdateRow(table, source->second, group, group.rows[entry], change);
  RemoveRowIfEmpty(table, source->second, key, entry);
}

}  // namespace

auto OpenDemandSource(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
                      std::uint64_t stream, const std::string& region) -> bool {
  const auto [source, added] = table.sources.try_emplace(entry);
  if (!added && source->second.incarnation > incarnation) return false;
  if (!added) RemoveRows(table, source->second, entry);
  source->second = {
      .incarnation = incarnation, .stream = stream, .region = region, .paused = false, .keys = {}};
  return true;
}

auto CloseDemandSource(DemandTable& table, const std::string& entry, std::uint64_t stream) -> bool {
  const auto source = table.sources.find(entry);
  if (source == table.sources.end() || source->second.stream != stream) return false;
  RemoveRows(table, source->second, entry);
  table.sources.erase(source);
  return true;
}

auto UpdateDemand(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
                  std::span<const DemandItem> items) -> bool {
  auto* source = FindSource(table, entry, incarnation);
  if (source == nullptr) return false;
  SetPaused(table, entry, incarnation, false);
  SetWaitingItems(table, *source, entry, items);
  return true;
}

auto ReplaceDemand(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
                   std::span<const DemandItem> items) -> bool {
  auto* source = FindSource(table, entry, incarnation);
  if (source == nullptr) return false;
  SetPaused(table, entry, incarnation, false);
  // Rows that are reported again keep the number of their last grant.
  auto dropped = source->keys;
  for (const auto& item : items) dropped.erase({item.service, item.workspace, source->region});
  SetWaitingItems(table, *source, entry, items);
  for (const auto& key : dropped) SetWaiting(table, *source, key, entry, 0);
  return true;
}

auto ListGrantCandidates(const DemandTable& table) -> std::vector<GrantCandidate> {
  std::vector<GrantCandidate> candidates;
  for (const auto& [key, group] : table.groups) {
    if (group.grantable > 0) {
      candidates.push_back({key.service, key.workspace, key.region, group.grantable});
    }
  }
  return candidates;
}

auto HasDemand(const DemandTable& table) -> bool { return table.grantable > 0; }

auto ChooseEntry(const DemandTable& table, const DemandKey& key) -> std::optional<std::string> {
  const auto group = table.groups.find(key);
  if (group == table.groups.end()) return std::nullopt;
  std::optional<std::string> chosen;
  std::uint64_t most = 0;
  for (const auto& [entry, row] : group->second.rows) {
    if (table.sources.at(entry).paused) continue;
    // The score makes each entry's share of the grants proportional to its waiting requests over
    // time.
    const auto score = UngrantedRequests(row) * (table.grants_issued - row.last_grant + 1);
    if (score > most) {
      most = score;
      chosen = entry;
    }
  }
  return chosen;
}

auto CountGrant(DemandTable& table, const DemandKey& key, const std::string& entry) -> void {
  const auto number = ++table.grants_issued;
  UpdateExistingRow(table, key, entry, [number](DemandRow& row) {
    ++row.granted;
    row.last_grant = number;
  });
}

auto CountGrantEnd(DemandTable& table, const DemandKey& key, const std::string& entry,
                   bool answered) -> void {
  UpdateExistingRow(table, key, entry, [answered](DemandRow& row) {
    if (row.granted > 0) --row.granted;
    if (answered && row.waiting > 0) --row.waiting;
  });
}

auto SetPaused(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
               bool paused) -> void {
  auto* source = FindSource(table, entry, incarnation);
  if (source == nullptr || source->paused == paused) return;
  source->paused = paused;
  for (const auto& key : source->keys) {
    auto& group = table.groups[key];
    const auto ungranted = UngrantedRequests(group.rows[entry]);
    group.grantable += paused ? -ungranted : ungranted;
    table.grantable += paused ? -ungranted : ungranted;
  }
}

}  // namespace filbertstair::admission
