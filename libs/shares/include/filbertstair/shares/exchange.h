#ifndef FILBERTSTAIR_SHARES_EXCHANGE_H_
#define FILBERTSTAIR_SHARES_EXCHANGE_H_

#include <cstddef>
#include <vector>

#include "filbertstair/core/names.h"
#include "filbertstair/shares/shares.h"

namespace filbertstair::shares {

// Kind of counters that a process sends on a link:
//  own: its own counters (endpoint to entry).
//  rows: one counter per source linked to it (entry to entry).
//  domain: the sum over the linked sources, as the counter of its domain (entry to an entry
//    of another domain).
//  totals: sums over the fleet (entry to endpoint).
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

// Counter of one workspace in a message. With Feed::rows, `source` and `incarnation` identify the
// process that the counter belongs to; they are kNone and 0 for the sender's own counter and for
// sums.
struct Update {
  Workspace workspace = 0;
  Source source = kNone;
  Incarnation incarnation = 0;
  // Service in microseconds of slot time; for Feed::totals that of the fleet without the receiver's
  // own counter.
  Cost counter = 0;
  // Requests in flight at the source; for Feed::totals those of the fleet without the receiver.
  std::uint32_t running = 0;
};

// Counters of one workspace that a peer was last sent.
struct SentState {
  // Sum of the counters in microseconds of slot time; -1 before the first update.
  Cost total = -1;
  // Row::version at the last update.
  std::uint64_t version = 0;
  // Whether ExchangeLink::backlog contains the workspace.
  bool in_backlog = false;
};

// State of the counter exchange with one peer. A new connection starts with a new ExchangeLink.
struct ExchangeLink {
  Feed feed = Feed::own;
  // The peer as a source and its incarnation, so that its own counters are not sent back to it.
  Source peer = kNone;
  Incarnation incarnation = 0;
  // Indexed by Workspace.
  std::vector<SentState> sent{};
  // Rows that changed but did not fit into the budget, and ShareTable::version at the last
  // selection.
  std::vector<Workspace> backlog{};
  std::uint64_t scanned_version = 0;
};

// Encoded size in bytes of an update without the workspace's name: tags, length, and workspace
// number, counter and requests in flight as varints. kSourceBytes is the additional size of the
// source and incarnation in Feed::rows. The name is sent once per connection.
inline constexpr std::size_t kUpdateBytes = 14;
inline constexpr std::size_t kSourceBytes = 12;

// Returns the updates with the largest unsent changes that fit into `budget` bytes, and marks them
// as sent. Takes time proportional to the number of rows changed since the last call and in the
// backlog. Call AccrueSlotTime first, so that the counters are current.
auto SelectUpdates(const ShareTable& table, ExchangeLink& link, std::size_t budget)
    -> std::vector<Update>;

// Marks a source as linked to this process, so that its counters are forwarded to other peers.
auto MarkSourceLinked(ShareTable& table, Source source) -> void;

// Merges the counter of a source, in microseconds of slot time, as a maximum. Idempotent, and
// independent of the order of calls. `running` is the number of requests in flight at the source.
auto MergeCounter(ShareTable& table, Workspace workspace, Source source, Incarnation incarnation,
                  Cost counter, std::uint32_t running) -> void;

// Merges an entry's total over all processes but this one, in microseconds of slot time. The
// largest total of all entries is used, with the requests in flight reported with it.
auto MergeOthersTotal(ShareTable& table, Workspace workspace, Cost others_total,
                      std::uint32_t running) -> void;

// Replaces the counters of all incarnations of `source` below `incarnation` with their sum in
// Row::folded_total. The caller must not merge another counter of these incarnations, as it would
// be counted twice.
auto FoldOldIncarnations(ShareTable& table, Source source, Incarnation incarnation) -> void;

}  // namespace filbertstair::shares

#endif  // FILBERTSTAIR_SHARES_EXCHANGE_H_
