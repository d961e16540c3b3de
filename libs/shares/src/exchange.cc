#include "filbertstair/shares/exchange.h"

#include <algorithm>
#include <utility>

#include "detail.h"

namespace filbertstair::shares {
namespace {

// Part of a row that the peer itself reported in its current incarnation.
auto Contained(const Row& row, const Link& link) -> Heard {
  for (const Heard& heard : row.heard) {
    if (heard.source == link.peer && heard.incarnation == link.incarnation) return heard;
  }
  return {};
}

// Counter and requests in flight of the sources linked to this process, without those of the peer.
auto Direct(const ShareTable& table, const Row& row, const Link& link) -> Heard {
  Heard sum{.counter = row.own, .running = row.running};
  if (link.feed == Feed::domain) sum.counter += row.past;
  for (const Heard& heard : row.heard) {
    if (!table.direct[heard.source] || heard.source == link.peer) continue;
    sum.counter += heard.counter;
    sum.running += heard.running;
  }
  return sum;
}

// What a link may report about a row.
auto Reportable(const ShareTable& table, const Row& row, const Link& link) -> Heard {
  switch (link.feed) {
    case Feed::own:
      return {.counter = row.own, .running = row.running};
    case Feed::rows:
    case Feed::domain:
      return Direct(table, row, link);
    case Feed::totals:
      break;
  }
  const Heard contained = Contained(row, link);
  return {.counter = Total(row) - contained.counter,
          .running = row.running + row.heard_running - contained.running};
}

// Collects the rows that changed since the last selection.
auto Scan(const ShareTable& table, Link& link) -> void {
  if (link.sent.size() < table.rows.size()) link.sent.resize(table.rows.size());
  for (Workspace w = table.newest; w != kNone; w = table.rows[w].older) {
    if (table.rows[w].version <= link.scanned) break;
    if (std::exchange(link.sent[w].queued, true)) continue;
    link.backlog.push_back(w);
  }
  link.scanned = table.version;
}

// Appends the updates about one row and returns their size.
auto Append(const ShareTable& table, const Link& link, Workspace workspace,
            std::vector<Update>& updates) -> std::size_t {
  const Row& row = table.rows[workspace];
  const Sent& sent = link.sent[workspace];
  const std::size_t name = sent.total < 0 ? row.name.size() : 0;
  if (link.feed != Feed::rows) {
    const Heard sum = Reportable(table, row, link);
    updates.push_back({workspace, kNone, 0, sum.counter, sum.running});
    return kUpdateBytes + name;
  }
  const std::size_t before = updates.size();
  if (row.own_version > sent.version) {
    updates.push_back({workspace, kNone, 0, row.own, row.running});
  }
  for (const Heard& heard : row.heard) {
    if (heard.version <= sent.version || !table.direct[heard.source] || heard.source == link.peer) {
      continue;
    }
    updates.push_back({workspace, heard.source, heard.incarnation, heard.counter, heard.running});
  }
  return (updates.size() - before) * (kUpdateBytes + kSourceBytes) + name;
}

}  // namespace

auto SelectUpdates(const ShareTable& table, Link& link, std::size_t budget) -> std::vector<Update> {
  Scan(table, link);
  std::vector<std::pair<Cost, Workspace>> changes;
  changes.reserve(link.backlog.size());
  for (const Workspace w : link.backlog) {
    const Cost change =
        Reportable(table, table.rows[w], link).counter - std::max<Cost>(link.sent[w].total, 0);
    if (change > 0) {
      changes.emplace_back(change, w);
    } else {
      link.sent[w].queued = false;
    }
  }
  const auto largest_first = [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  };
  const std::size_t fitting = std::min(changes.size(), budget / kUpdateBytes);
  std::ranges::partial_sort(changes, changes.begin() + static_cast<std::ptrdiff_t>(fitting),
                            largest_first);
  std::vector<Update> updates;
  link.backlog.clear();
  for (std::size_t i = 0; i < changes.size(); ++i) {
    const Workspace w = changes[i].second;
    const std::size_t before = updates.size();
    Sent& sent = link.sent[w];
    const std::size_t bytes = i < fitting ? Append(table, link, w, updates) : 0;
    if (i >= fitting || bytes > budget) {
      updates.resize(before);
      link.backlog.push_back(w);
      continue;
    }
    budget -= bytes;
    sent = {Reportable(table, table.rows[w], link).counter, table.rows[w].version, false};
  }
  return updates;
}

auto SetDirect(ShareTable& table, Source source) -> void { table.direct[source] = true; }

auto Merge(ShareTable& table, Workspace workspace, Source source, Incarnation incarnation,
           Cost counter, std::uint32_t running) -> void {
  Row& row = table.rows[workspace];
  auto it = std::ranges::find_if(row.heard, [&](const Heard& heard) {
    return heard.source == source && heard.incarnation == incarnation;
  });
  if (it == row.heard.end()) it = row.heard.insert(it, {source, incarnation, 0, 0, 0});
  if (counter <= it->counter) return;
  row.heard_sum += counter - it->counter;
  it->counter = counter;
  row.heard_running += running - it->running;
  it->running = running;
  detail::Touch(table, workspace);
  it->version = row.version;
}

auto MergeOthers(ShareTable& table, Workspace workspace, Cost others, std::uint32_t running)
    -> void {
  Row& row = table.rows[workspace];
  if (others <= row.others) return;
  const Level before = ServiceLevel(row);
  row.others = others;
  row.others_running = running;
  row.running_then = row.running;
  if (table.learning) row.lift += before - ServiceLevel(row);
  detail::Touch(table, workspace);
}

auto Fold(ShareTable& table, Source source, Incarnation incarnation) -> void {
  for (Row& row : table.rows) {
    std::erase_if(row.heard, [&](const Heard& heard) {
      if (heard.source != source || heard.incarnation >= incarnation) return false;
      row.heard_sum -= heard.counter;
      row.heard_running -= heard.running;
      row.past += heard.counter;
      return true;
    });
  }
}

}  // namespace filbertstair::shares
