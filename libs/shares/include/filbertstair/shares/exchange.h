#ifndef FILBERTSTAIR_SHARES_EXCHANGE_H_
#define FILBERTSTAIR_SHARES_EXCHANGE_H_

#include <cstddef>
#include <vector>

#include "filbertstair/core/names.h"
#include "filbertstair/shares/shares.h"

namespace filbertstair::shares {

// What one process sends to another: its own counters (endpoint to entry), the rows of the sources
// linked to it (entry to entry), their sum as the counter of its domain (entry to entry of another
// domain), or sums over the fleet (entry to endpoint).
enum class Feed { own, rows, domain, totals };
}  // namespace filbertstair::shares

namespace filbertstair::core {
template <>
inline constexpr NameTable<shares::Feed, 4> kNames<shares::Feed>{
    {{shares::Feed::own, "own"},
     {shares::Feed::rows, "rows"},
     {shares::Feed::domain, "domain"},
     {shares::Feed::totals, "totals"}}};
}  // namespace filbertstair::core

namespace filbertstair::shares {

// One workspace in a message. `source` and `incarnation` are those of the counter's owner for rows,
// kNone and 0 for the sender's own counter.
struct Update {
  Workspace workspace = 0;
  Source source = kNone;
  Incarnation incarnation = 0;
  // Counter of the source; for Feed::totals the fleet's total without the receiver's own counter.
  Cost counter = 0;
  // Requests in flight at the source, or over the fleet without the receiver.
  std::uint32_t running = 0;
};

// What a peer was last sent about one workspace.
struct SentState {
  Cost total = -1;
  std::uint64_t version = 0;
  bool in_backlog = false;
};

// State of the exchange with one peer. A new connection starts with a new ExchangeLink.
struct ExchangeLink {
  Feed feed = Feed::own;
  // The peer as a source and its incarnation, for Feed::totals and to send it nothing of its own.
  Source peer = kNone;
  Incarnation incarnation = 0;
  std::vector<SentState> sent{};
  // Rows that changed but did not fit the budget, and the table's version at the last selection.
  std::vector<Workspace> backlog{};
  std::uint64_t scanned_version = 0;
};

// Encoded size of an update without the workspace's name: tags, length, workspace number, counter
// and requests in flight as varints; and what a row adds for its source and incarnation. The name
// is sent once per connection.
inline constexpr std::size_t kUpdateBytes = 14;
inline constexpr std::size_t kSourceBytes = 12;

// Returns the updates that carry the largest unreported changes and fit into `budget` bytes, and
// marks them as sent. Takes time in proportion to the rows changed since the last call. Call
// AccrueSlotTime first.
auto SelectUpdates(const ShareTable& table, ExchangeLink& link, std::size_t budget)
    -> std::vector<Update>;

// Marks a source as linked to this process, so that its rows are passed on to others.
auto MarkSourceLinked(ShareTable& table, Source source) -> void;

// Takes the counter of a source into account. Idempotent and independent of the order of calls.
auto MergeCounter(ShareTable& table, Workspace workspace, Source source, Incarnation incarnation,
                  Cost counter, std::uint32_t running) -> void;

// Takes a feeder's sum over the other processes into account. The largest over all feeders counts.
auto MergeOthersTotal(ShareTable& table, Workspace workspace, Cost others_total,
                      std::uint32_t running) -> void;

// Sums up the rows of incarnations of `source` below `incarnation`, once no counter of theirs can
// arrive any more. A later counter of such an incarnation would be counted twice; the caller does
// not merge it.
auto FoldOldIncarnations(ShareTable& table, Source source, Incarnation incarnation) -> void;

}  // namespace filbertstair::shares

#endif  // FILBERTSTAIR_SHARES_EXCHANGE_H_
