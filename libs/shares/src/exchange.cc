#include "filbertstair/shares/exchange.h"

#include <algorithm>
#include <utility>

#include "detail.h"

namespace filbertstair::shares {
namespace {

// Returns the counter that the peer itself reported in its current incarnation.
auto CounterFromPeer(const Row& row, const ExchangeLink& link) -> SourceCounter {
  for (const SourceCounter& source_counter : row.received) {
    if (source_counter.source == link.peer && source_counter.incarnation == link.incarnation) {
      return source_counter;
    }
  }
  return {};
}

// Sums the counters and requests in flight of this process and the sources linked to it, without
// those of the peer.
auto SumLinkedSources(const ShareTable& table, const Row& row, const ExchangeLink& link)
    -> SourceCounter {
  SourceCounter sum{.counter = row.own_counter, .running = row.running};
  if (link.feed == Feed::domain) sum.counter += row.folded_total;
  for (const SourceCounter& source_counter : row.received) {
    if (!table.source_linked[source_counter.source] || source_counter.source == link.peer) continue;
    sum.counter += source_counter.counter;
    sum.running += source_counter.running;
  }
  return sum;
}

// Returns the total counter and the requests in flight of a row that a link reports.
auto ReportableCounter(const ShareTable& table, const Row& row, const ExchangeLink& link)
    -> SourceCounter {
  switch (link.feed) {
    case Feed::own:
      return {.counter = row.own_counter, .running = row.running};
    case Feed::rows:
    case Feed::domain:
      return SumLinkedSources(table, row, link);
    case Feed::totals:
      break;
  }
  const SourceCounter from_peer = CounterFromPeer(row, link);
  return {.counter = FleetTotal(row) - from_peer.counter,
          .running = row.running + row.received_running - from_peer.running};
}

// Adds the rows that changed since the last selection to the backlog.
auto QueueChangedRows(const ShareTable& table, ExchangeLink& link) -> void {
  if (link.sent.size() < table.rows.size()) link.sent.resize(table.rows.size());
  for (Workspace w = table.newest; w != kNone; w = table.rows[w].older) {
    if (table.rows[w].version <= link.scanned_version) break;
    if (std::exchange(link.sent[w].in_backlog, true)) continue;
    link.backlog.push_back(w);
  }
  link.scanned_version = table.version;
}

// Appends the updates of one row and returns their encoded size in bytes.
auto AppendUpdates(const ShareTable& table, const ExchangeLink& link, Workspace workspace,
                   std::vector<Update>& updates) -> std::size_t {
  const Row& row = table.rows[workspace];
  const SentState& sent = link.sent[workspace];
  const std::size_t name = sent.total < 0 ? row.name.size() : 0;
  if (link.feed != Feed::rows) {
    const SourceCounter sum = ReportableCounter(table, row, link);
    updates.push_back({workspace, kNone, 0, sum.counter, sum.running});
    return kUpdateBytes + name;
  }
  const std::size_t before = updates.size();
  if (row.own_version > sent.version) {
    updates.push_back({workspace, kNone, 0, row.own_counter, row.running});
  }
  for (const SourceCounter& source_counter : row.received) {
    if (source_counter.version <= sent.version || !table.source_linked[source_counter.source] ||
        source_counter.source == link.peer) {
      continue;
    }
    updates.push_back({workspace, source_counter.source, source_counter.incarnation,
                       source_counter.counter, source_counter.running});
  }
  return (updates.size() - before) * (kUpdateBytes + kSourceBytes) + name;
}

}  // namespace

auto SelectUpdates(const ShareTable& table, ExchangeLink& link, std::size_t budget)
    -> std::vector<Update> {
  QueueChangedRows(table, link);
  std::vector<std::pair<Cost, Workspace>> changes;
  changes.reserve(link.backlog.size());
  for (const Workspace w : link.backlog) {
    const Cost change = ReportableCounter(table, table.rows[w], link).counter -
                        std::max<Cost>(link.sent[w].total, 0);
    if (change > 0) {
      changes.emplace_back(change, w);
    } else {
      link.sent[w].in_backlog = false;
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
    SentState& sent = link.sent[w];
    const std::size_t bytes = i < fitting ? AppendUpdates(table, link, w, updates) : 0;
    if (i >= fitting || bytes > budget) {
      updates.resize(before);
      link.backlog.push_back(w);
      continue;
    }
    budget -= bytes;
    sent = {ReportableCounter(table, table.rows[w], link).counter, table.rows[w].version, false};
  }
  return updates;
}

auto MarkSourceLinked(ShareTable& table, Source source) -> void {
  table.source_linked[source] = true;
}

auto MergeCounter(ShareTable& table, Workspace workspace, Source source, Incarnation incarnation,
                  Cost counter, std::uint32_t running) -> void {
  Row& row = table.rows[workspace];
  auto it = std::ranges::find_if(row.received, [&](const SourceCounter& source_counter) {
    return source_counter.source == source && source_counter.incarnation == incarnation;
  });
  if (it == row.received.end()) it = row.received.insert(it, {source, incarnation, 0, 0, 0});
  if (counter <= it->counter) return;
  row.received_total += counter - it->counter;
  it->counter = counter;
  row.received_running += running - it->running;
  it->running = running;
  detail::MarkChanged(table, workspace);
  it->version = row.version;
}

auto MergeOthersTotal(ShareTable& table, Workspace workspace, Cost others_total,
                      std::uint32_t running) -> void {
  Row& row = table.rows[workspace];
  if (others_total <= row.others_total) return;
  const Level before = ServiceLevel(row);
  row.others_total = others_total;
  row.others_running = running;
  row.running_at_report = row.running;
  if (table.warming_up) row.level_offset += before - ServiceLevel(row);
  detail::MarkChanged(table, workspace);
}

auto FoldOldIncarnations(ShareTable& table, Source source, Incarnation incarnation) -> void {
  for (Row& row : table.rows) {
    std::erase_if(row.received, [&](const SourceCounter& source_counter) {
      if (source_counter.source != source || source_counter.incarnation >= incarnation) {
        return false;
      }
      row.received_total -= source_counter.counter;
      row.received_running -= source_counter.running;
      row.folded_total += source_counter.counter;
      return true;
    });
  }
}

}  // namespace filbertstair::shares
