#include "filbertstair/core/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace filbertstair::core {
namespace {

auto HashKey(std::string_view key) -> std::uint64_t { return XXH64(key.data(), key.size(), 0); }

}  // namespace

auto RendezvousScore(std::uint64_t key_hash, std::string_view id) -> std::uint64_t {
  return XXH64(id.data(), id.size(), key_hash);
}

auto RendezvousOrder(std::string_view key, std::span<const std::string> ids)
    -> std::vector<std::size_t> {
  const auto hash = HashKey(key);
  std::vector<std::uint64_t> scores(ids.size());
  std::transform(ids.begin(), ids.end(), scores.begin(),
                 [hash](const std::string& id) { return RendezvousScore(hash, id); });
  std::vector<std::size_t> order(ids.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return scores[a] != scores[b] ? scores[a] > scores[b] : ids[a] < ids[b];
  });
  return order;
}

auto RendezvousOwner(std::string_view key, std::span<const std::string> ids) -> std::size_t {
  const auto hash = HashKey(key);
  std::size_t owner = ids.size();
  std::uint64_t best = 0;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const auto score = RendezvousScore(hash, ids[i]);
    if (owner == ids.size() || score > best || (score == best && ids[i] < ids[owner])) {
      owner = i;
      best = score;
    }
  }
  return owner;
}

}  // namespace filbertstair::core
