#include "filbertstair/shares/shares.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

#include "detail.h"

namespace filbertstair::shares {
namespace {

auto Intern(NameToIndex& names, std::string_view name) -> std::pair<std::uint32_t, bool> {
  if (const auto it = names.find(name); it != names.end()) return {it->second, false};
  const auto index = static_cast<std::uint32_t>(names.size());
  names.emplace(name, index);
  return {index, true};
}

// Raises the published counter to the service that Settings::publish includes.
auto UpdatePublishedCounter(ShareTable& table, Workspace workspace) -> void {
  Row& row = table.rows[workspace];
  const Cost value = table.settings.publish == PublishMode::granted ? row.charged : row.elapsed;
  if (value <= row.own_counter) return;
  row.own_counter = value;
  detail::MarkChanged(table, workspace);
  row.own_version = row.version;
}

// Adds a sample to an exponential moving average. The first sample becomes the average.
auto UpdateMean(double& mean, double gain, Cost cost) -> void {
  mean = mean <= 0 ? static_cast<double>(cost) : mean + gain * (static_cast<double>(cost) - mean);
}

auto UpdateMeans(ShareTable& table, const OpenCharge& charge, Cost cost) -> void {
  const double gain = table.settings.mean_gain;
  auto& means = table.rows[charge.workspace].means;
  auto it = std::ranges::find(means, charge.service, &ServiceMean::service);
  if (it == means.end()) it = means.insert(means.end(), {charge.service, 0});
  UpdateMean(it->cost, gain, cost);
  UpdateMean(table.service_means[charge.service], gain, cost);
}

// Recomputes the lowest level of the active workspaces; without any, the last one stays.
auto UpdateMinActiveLevel(ShareTable& table) -> Level {
  if (!table.active.empty()) {
    table.min_active_level = std::numeric_limits<Level>::infinity();
    for (const Workspace w : table.active) {
      table.min_active_level = std::min(table.min_active_level, ServiceLevel(table.rows[w]));
    }
  }
  return table.min_active_level;
}

// Estimates the requests in flight in the fleet, assuming that the other endpoints have reacted to
// the last report as this process did.
auto EstimateInFlight(const ShareTable& table, const Row& row) -> double {
  const double since = static_cast<double>(row.running) - row.running_at_report;
  return row.running + row.others_running + since * table.settings.peer_count;
}

// Returns a pseudorandom number for the dither and the order of equal levels, which differs between
// processes and between picks.
auto TieBreakKey(const ShareTable& table, const Row& row) -> std::uint64_t {
  const std::array<std::uint64_t, 2> key{row.hash, table.pick_count};
  return XXH3_64bits_withSeed(key.data(), sizeof(key), table.salt);
}

}  // namespace

namespace detail {

auto MarkChanged(ShareTable& table, Workspace workspace) -> void {
  Row& row = table.rows[workspace];
  row.version = ++table.version;
  if (table.newest == workspace) return;
  if (row.newer != kNone) table.rows[row.newer].older = row.older;
  if (row.older != kNone) table.rows[row.older].newer = row.newer;
  row.newer = kNone;
  row.older = table.newest;
  if (table.newest != kNone) table.rows[table.newest].newer = workspace;
  table.newest = workspace;
}

}  // namespace detail

auto InternWorkspace(ShareTable& table, std::string_view name) -> Workspace {
  const auto [index, added] = Intern(table.workspaces, name);
  if (added) {
    Row row;
    row.name = name;
    row.hash = XXH3_64bits(name.data(), name.size());
    table.rows.push_back(std::move(row));
  }
  return index;
}

auto InternService(ShareTable& table, std::string_view name) -> Service {
  const auto [index, added] = Intern(table.services, name);
  if (added) table.service_means.push_back(0);
  return index;
}

auto InternSource(ShareTable& table, std::string_view name) -> Source {
  const auto [index, added] = Intern(table.sources, name);
  if (added) {
    table.source_names.emplace_back(name);
    table.source_linked.push_back(false);
  }
  return index;
}

auto EstimateCost(const ShareTable& table, Workspace workspace, Service service,
                  std::optional<Cost> hint) -> Cost {
  const auto& means = table.rows[workspace].means;
  const auto it = std::ranges::find(means, service, &ServiceMean::service);
  if (it != means.end()) return std::llround(it->cost);
  const double mean = table.service_means[service];
  const double fallback = mean > 0 ? mean : static_cast<double>(table.settings.default_cost);
  if (!hint) return std::llround(fallback);
  const double factor = table.settings.max_hint_ratio;
  return std::llround(std::clamp(static_cast<double>(*hint), fallback / factor, fallback * factor));
}

auto AddCharge(ShareTable& table, ChargeId id, Workspace workspace, Service service, Cost estimate)
    -> void {
  OpenCharge charge;
  charge.workspace = workspace;
  charge.service = service;
  charge.charged = std::max<Cost>(estimate, 0);
  if (!table.charges.emplace(id, charge).second) return;
  table.rows[workspace].charged += charge.charged;
  ++table.rows[workspace].running;
  UpdatePublishedCounter(table, workspace);
}

auto StartCharge(ShareTable& table, ChargeId id, Time now) -> void {
  const auto it = table.charges.find(id);
  if (it != table.charges.end() && !it->second.started) it->second.started = now;
}

auto AccrueSlotTime(ShareTable& table, Time now) -> void {
  const bool elapsed = table.settings.publish != PublishMode::settled;
  for (auto& [id, charge] : table.charges) {
    if (!charge.started) continue;
    const Cost cost = (now - *charge.started).count();
    Row& row = table.rows[charge.workspace];
    if (elapsed && cost > charge.elapsed) {
      row.elapsed += cost - charge.elapsed;
      charge.elapsed = cost;
    }
    if (cost > charge.charged) {
      row.charged += cost - charge.charged;
      charge.charged = cost;
    }
    UpdatePublishedCounter(table, charge.workspace);
  }
}

auto SettleCharge(ShareTable& table, ChargeId id, Cost cost) -> void {
  const auto it = table.charges.find(id);
  if (it == table.charges.end()) return;
  const struct OpenCharge charge = it->second;
  table.charges.erase(it);
  Row& row = table.rows[charge.workspace];
  cost = std::max(cost, charge.elapsed);
  --row.running;
  row.elapsed += cost - charge.elapsed;
  row.charged += cost - charge.charged;
  UpdateMeans(table, charge, cost);
  UpdatePublishedCounter(table, charge.workspace);
}

auto RefundCharge(ShareTable& table, ChargeId id) -> void {
  const auto it = table.charges.find(id);
  if (it == table.charges.end()) return;
  --table.rows[it->second.workspace].running;
  table.rows[it->second.workspace].charged -= it->second.charged - it->second.elapsed;
  table.charges.erase(it);
}

auto FleetTotal(const Row& row) -> Cost {
  return row.own_counter + std::max(row.others_total, row.received_total + row.folded_total);
}

auto ServiceLevel(const Row& row) -> Level {
  const Cost others_total = std::max(row.others_total, row.received_total + row.folded_total);
  return static_cast<Level>(row.elapsed + others_total) / row.weight + row.level_offset;
}

auto EffectiveLevel(const ShareTable& table, Workspace workspace) -> Level {
  const Row& row = table.rows[workspace];
  if (table.settings.lookahead == 0) {
    return ServiceLevel(row) + static_cast<Level>(row.charged - row.elapsed) / row.weight;
  }
  return ServiceLevel(row) +
         EstimateInFlight(table, row) * static_cast<Level>(table.settings.lookahead) / row.weight;
}

auto ActivateWorkspace(ShareTable& table, Workspace workspace, double weight, Time now) -> void {
  Row& row = table.rows[workspace];
  const Level level = ServiceLevel(row);
  if (weight > 0 && weight != row.weight) {
    row.weight = weight;
    row.level_offset += level - ServiceLevel(row);
  }
  if (row.active_index != kNone) return;
  if (!row.idle_since || now - *row.idle_since > table.settings.idle_grace) {
    const Level least = UpdateMinActiveLevel(table);
    if (!row.idle_since || level < least) row.level_offset += least - level;
  }
  row.active_index = static_cast<std::uint32_t>(table.active.size());
  table.active.push_back(workspace);
}

auto DeactivateWorkspace(ShareTable& table, Workspace workspace, Time now) -> void {
  Row& row = table.rows[workspace];
  if (row.active_index == kNone) return;
  if (table.active.size() == 1) table.min_active_level = ServiceLevel(row);
  row.idle_since = now;
  table.rows[table.active.back()].active_index = row.active_index;
  table.active[row.active_index] = table.active.back();
  table.active.pop_back();
  row.active_index = kNone;
}

auto PickCandidate(ShareTable& table, const std::vector<Candidate>& candidates, Time now)
    -> std::optional<std::size_t> {
  AccrueSlotTime(table, now);
  for (const Candidate& c : candidates) {
    if (c.count > 0) ActivateWorkspace(table, c.workspace, c.weight, now);
  }
  const Level limit = UpdateMinActiveLevel(table) + table.settings.max_lead;
  const Level dither = table.settings.dither * static_cast<Level>(table.settings.lookahead) *
                       (table.settings.peer_count + 1);
  std::optional<std::size_t> best;
  Level best_level = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& c = candidates[i];
    if (c.count == 0) continue;
    Row& row = table.rows[c.workspace];
    Level level = EffectiveLevel(table, c.workspace);
    if (const Level excess = ServiceLevel(row) - limit; excess > 0) {
      row.level_offset -= excess;
      level -= excess;
    }
    if (c.remote) level += table.settings.link_price;
    level += dither / row.weight * static_cast<double>(TieBreakKey(table, row) >> 11) * 0x1p-53;
    if (best && level == best_level &&
        TieBreakKey(table, row) >= TieBreakKey(table, table.rows[candidates[*best].workspace])) {
      continue;
    }
    if (!best || level <= best_level) {
      best = i;
      best_level = level;
    }
  }
  ++table.pick_count;
  return best;
}

}  // namespace filbertstair::shares
