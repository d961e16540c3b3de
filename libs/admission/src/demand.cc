#include "filbertstair/admission/demand.h"

#include <algorithm>

namespace filbertstair::admission {
namespace {

auto FindSource(const DemandTable& table, const std::string& entry, core::Incarnation incarnation)
    -> const DemandSource* {
  const auto found = table.sources.find(entry);
  if (found == table.sources.end()) return nullptr;
  return found->second.incarnation == incarnation ? &found->second : nullptr;
}

auto Askable(const DemandTable& table, const std::string& entry, const DemandRow& row)
    -> std::uint32_t {
  const auto source = table.sources.find(entry);
  if (source == table.sources.end() || source->second.paused) return 0;
  return row.waiting - std::min(row.waiting, row.granted);
}

auto FindRow(DemandTable& table, const DemandKey& key, const std::string& entry) -> DemandRow* {
  const auto rows = table.rows.find(key);
  if (rows == table.rows.end()) return nullptr;
  const auto row = rows->second.find(entry);
  return row == rows->second.end() ? nullptr : &row->second;
}

// Removes the entry's row; its source must exist.
auto DropRow(DemandTable& table, const DemandKey& key, const std::string& entry) -> void {
  if (const auto rows = table.rows.find(key); rows != table.rows.end()) {
    rows->second.erase(entry);
    if (rows->second.empty()) table.rows.erase(rows);
  }
  table.sources[entry].keys.erase(key);
}

auto DropRows(DemandTable& table, const std::string& entry) -> void {
  const auto keys = table.sources[entry].keys;
  for (const auto& key : keys) DropRow(table, key, entry);
}

}  // namespace

auto OpenSource(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
                std::uint64_t stream, const std::string& region) -> bool {
  const auto [source, added] = table.sources.try_emplace(entry);
  if (!added && source->second.incarnation > incarnation) return false;
  if (!added) DropRows(table, entry);
  source->second = {
      .incarnation = incarnation, .stream = stream, .region = region, .paused = false, .keys = {}};
  return true;
}

auto CloseSource(DemandTable& table, const std::string& entry, std::uint64_t stream) -> bool {
  const auto source = table.sources.find(entry);
  if (source == table.sources.end() || source->second.stream != stream) return false;
  DropRows(table, entry);
  table.sources.erase(source);
  return true;
}

auto ReplaceDemand(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
                   std::span<const DemandItem> items) -> bool {
  const auto* source = FindSource(table, entry, incarnation);
  if (source == nullptr) return false;
  const auto region = source->region;
  SetPaused(table, entry, incarnation, false);
  const auto keys = source->keys;
  for (const auto& key : keys) FindRow(table, key, entry)->waiting = 0;
  for (const auto& item : items) {
    if (item.waiting == 0) continue;
    const DemandKey key{item.service, item.workspace, region};
    const auto [row, added] = table.rows[key].try_emplace(entry);
    row->second.waiting = item.waiting;
    if (added) row->second.last_grant = table.grants;
    table.sources[entry].keys.insert(key);
  }
  for (const auto& key : keys) {
    const auto* row = FindRow(table, key, entry);
    // Rows with outstanding grants stay, so that the grants' ends are counted.
    if (row->waiting == 0 && row->granted == 0) DropRow(table, key, entry);
  }
  return true;
}

auto Candidates(const DemandTable& table) -> std::vector<Candidate> {
  std::vector<Candidate> candidates;
  for (const auto& [key, rows] : table.rows) {
    std::uint32_t waiting = 0;
    for (const auto& [entry, row] : rows) waiting += Askable(table, entry, row);
    if (waiting > 0) candidates.push_back({key.service, key.workspace, key.region, waiting});
  }
  return candidates;
}

auto HasDemand(const DemandTable& table) -> bool {
  return std::any_of(table.rows.begin(), table.rows.end(), [&table](const auto& rows) {
    return std::any_of(rows.second.begin(), rows.second.end(), [&table](const auto& row) {
      return Askable(table, row.first, row.second) > 0;
    });
  });
}

auto ChooseEntry(const DemandTable& table, const DemandKey& key) -> std::optional<std::string> {
  const auto rows = table.rows.find(key);
  if (rows == table.rows.end()) return std::nullopt;
  std::optional<std::string> chosen;
  std::uint64_t most = 0;
  for (const auto& [entry, row] : rows->second) {
    // In the long run each entry is chosen with a frequency proportional to its waiting requests.
    const std::uint64_t score = Askable(table, entry, row) * (table.grants - row.last_grant + 1);
    if (score > most) {
      most = score;
      chosen = entry;
    }
  }
  return chosen;
}

auto CountGrant(DemandTable& table, const DemandKey& key, const std::string& entry) -> void {
  ++table.grants;
  if (auto* row = FindRow(table, key, entry); row != nullptr) {
    ++row->granted;
    row->last_grant = table.grants;
  }
}

auto CountGrantEnd(DemandTable& table, const DemandKey& key, const std::string& entry,
                   bool answered) -> void {
  auto* row = FindRow(table, key, entry);
  if (row == nullptr) return;
  if (row->granted > 0) --row->granted;
  if (answered && row->waiting > 0) --row->waiting;
  if (row->waiting == 0 && row->granted == 0) DropRow(table, key, entry);
}

auto SetPaused(DemandTable& table, const std::string& entry, core::Incarnation incarnation,
               bool paused) -> void {
  if (FindSource(table, entry, incarnation) != nullptr) table.sources[entry].paused = paused;
}

}  // namespace filbertstair::admission
