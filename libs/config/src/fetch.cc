#include "filbertstair/config/fetch.h"

namespace filbertstair::config {

auto BeginFetch(FetchTable& table, const DigestRow& row, const std::string& peer, core::Time now)
    -> bool {
  auto& fetch = table.fetches[row.key];
  if (fetch.stamp >= row.stamp && now < fetch.deadline) return false;
  fetch = {.stamp = row.stamp, .peer = peer, .deadline = now + kFetchTimeout};
  return true;
}

auto CompleteFetch(FetchTable& table, const ObjectKey& key, const Stamp& stamp) -> void {
  const auto found = table.fetches.find(key);
  if (found != table.fetches.end() && found->second.stamp <= stamp) table.fetches.erase(found);
}

auto CancelFetchesFrom(FetchTable& table, const std::string& peer) -> void {
  std::erase_if(table.fetches, [&](const auto& entry) { return entry.second.peer == peer; });
}

}  // namespace filbertstair::config
