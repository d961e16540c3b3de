#ifndef FILBERTSTAIR_CONFIG_FETCH_H_
#define FILBERTSTAIR_CONFIG_FETCH_H_

#include <map>
#include <string>

#include "filbertstair/config/table.h"
#include "filbertstair/core/types.h"

namespace filbertstair::config {

// Outstanding request for an object's content, sent to `peer`.
struct Fetch {
  Stamp stamp;
  std::string peer;
  core::Time deadline{};
};

// Outstanding requests, at most one per object. Several peers announce the same change; without
// this limit the content would be requested from each of them.
struct FetchTable {
  std::map<ObjectKey, Fetch> fetches;
};

// Time after which a request is considered lost, for example because the peer is frozen.
inline constexpr core::Duration kFetchTimeout = std::chrono::milliseconds(800);

// Returns whether to request `row` from `peer` now, and records the request if so. No request is
// made while one for the same or a higher stamp is outstanding and before its deadline.
auto BeginFetch(FetchTable& table, const DigestRow& row, const std::string& peer, core::Time now)
    -> bool;

// Removes the outstanding request for an object that was received with `stamp` from any peer,
// unless the request is for a higher stamp.
auto CompleteFetch(FetchTable& table, const ObjectKey& key, const Stamp& stamp) -> void;

// Removes all requests to a peer whose connection was lost.
auto CancelFetchesFrom(FetchTable& table, const std::string& peer) -> void;

}  // namespace filbertstair::config

#endif  // FILBERTSTAIR_CONFIG_FETCH_H_
