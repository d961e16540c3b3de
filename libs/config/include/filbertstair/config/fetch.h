#ifndef FILBERTSTAIR_CONFIG_FETCH_H_
#define FILBERTSTAIR_CONFIG_FETCH_H_

#include <map>
#include <string>

#include "filbertstair/config/table.h"
#include "filbertstair/core/types.h"

namespace filbertstair::config {

// A request for an object's content that has been sent and not been answered.
struct Fetch {
  Stamp stamp;
  std::string peer;
  core::Time deadline{};
};

// Requests in progress, at most one per object. Announcements of one change arrive from several
// peers; without this each of them would be answered with the whole content.
struct FetchTable {
  std::map<ObjectKey, Fetch> fetches;
};

// Time after which a request counts as lost, for example because the peer is frozen.
inline constexpr core::Duration kFetchTimeout = std::chrono::milliseconds(800);

// Decides whether to request `row` from `peer` now, and notes the request if so. A request in
// progress for the same or a higher stamp suffices until its deadline.
auto BeginFetch(FetchTable& table, const DigestRow& row, const std::string& peer, core::Time now)
    -> bool;

// Notes that the object arrived with `stamp`, from whichever peer. Ends the request unless it is
// for a higher stamp.
auto CompleteFetch(FetchTable& table, const ObjectKey& key, const Stamp& stamp) -> void;

// Forgets the requests sent to a peer whose connection broke.
auto CancelFetchesFrom(FetchTable& table, const std::string& peer) -> void;

}  // namespace filbertstair::config

#endif  // FILBERTSTAIR_CONFIG_FETCH_H_
