#include "filbertstair/membership/view.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace filbertstair::membership {
namespace {

// Average number of links of an entry as fractions of max_links: that of a new value, and the range
// in which the value in use stays.
constexpr double kTargetLoad = 0.6;
constexpr double kMinLoad = 0.3;
constexpr double kMaxLoad = 0.75;

// Returns the rank of `self` among `entries` for `endpoint`, or `limit` if it is not lower. The
// order is that of core::RendezvousOrder, but the search ends once `limit` better entries are
// found: on average after some tens of 1,200 entries, so that the links to 10,000 endpoints can be
// computed anew at each change.
auto Rank(const std::string& self, std::span<const std::string> entries,
          const std::string& endpoint, std::size_t limit) -> std::size_t {
  const auto seed = XXH64(endpoint.data(), endpoint.size(), 0);
  const auto own = XXH64(self.data(), self.size(), seed);
  std::size_t rank = 0;
  for (const auto& entry : entries) {
    const auto score = XXH64(entry.data(), entry.size(), seed);
    if (score > own || (score == own && entry < self)) ++rank;
    if (rank >= limit) break;
  }
  return rank;
}

}  // namespace

auto LinksPerEndpoint(std::size_t entries, std::size_t endpoints, std::size_t max_links,
                      std::size_t current) -> std::size_t {
  if (entries == 0) return kFullMesh;
  const bool fits_full_mesh = endpoints <= max_links;
  if (fits_full_mesh && (current == 0 || current == kFullMesh)) return kFullMesh;
  const auto capacity = static_cast<double>(max_links) * static_cast<double>(entries);
  const auto load = static_cast<double>(current) * static_cast<double>(endpoints) / capacity;
  const bool usable = current >= kMinLinksPerEndpoint && current < entries;
  if (usable && load >= kMinLoad && load <= kMaxLoad) return current;
  if (fits_full_mesh) return kFullMesh;
  return std::max(kMinLinksPerEndpoint, static_cast<std::size_t>(kTargetLoad * capacity /
                                                                 static_cast<double>(endpoints)));
}

auto SelectLinkedEndpoints(const std::string& self, std::span<const std::string> entries,
                           std::span<const std::string> endpoints, std::size_t links_per_endpoint,
                           std::size_t max_links) -> std::vector<std::size_t> {
  std::vector<std::size_t> links;
  if (links_per_endpoint == kFullMesh) {
    for (std::size_t i = 0; i < endpoints.size(); ++i) links.push_back(i);
    return links;
  }
  const auto limit = std::max(links_per_endpoint, kMinLinksPerEndpoint);
  // Rank of this entry for an endpoint, and the index of the endpoint.
  std::vector<std::pair<std::size_t, std::size_t>> ranked;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const auto rank = Rank(self, entries, endpoints[i], limit);
    if (rank < limit) ranked.emplace_back(rank, i);
  }
  std::stable_sort(ranked.begin(), ranked.end(), [&](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : endpoints[a.second] < endpoints[b.second];
  });
  for (const auto& [rank, i] : ranked) {
    if (links.size() >= max_links && rank >= kMinLinksPerEndpoint) break;
    links.push_back(i);
  }
  std::sort(links.begin(), links.end());
  return links;
}

}  // namespace filbertstair::membership
