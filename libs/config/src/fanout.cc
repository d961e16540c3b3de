#include "filbertstair/config/fanout.h"

#include <algorithm>
#include <map>

#include "filbertstair/core/rendezvous.h"

namespace filbertstair::config {
namespace {

// Entries of one region, with their indices in the caller's span.
struct Region {
  std::vector<std::string> ids;
  std::vector<bool> suspected;
  std::vector<std::size_t> indices;
};

// Returns the peers in its region that the entry `id` chooses, as indices in `region`.
auto ChooseRegionLinks(const std::string& id, const Region& region, std::size_t links)
    -> std::vector<std::size_t> {
  std::vector<std::size_t> chosen;
  for (const auto i : core::RendezvousOrder("link/" + id, region.ids)) {
    if (chosen.size() == links) break;
    if (region.ids[i] != id && !region.suspected[i]) chosen.push_back(i);
  }
  return chosen;
}

// Returns the entries of the region that are linked to other regions, as indices in `region`.
auto ChooseBridges(const Region& region, std::size_t bridges) -> std::vector<std::size_t> {
  auto order = core::RendezvousOrder("bridge", region.ids);
  std::erase_if(order, [&](std::size_t i) { return region.suspected[i]; });
  order.resize(std::min(order.size(), bridges));
  return order;
}

}  // namespace

auto ChoosePeerLinks(const std::string& self, std::span<const Peer> entries,
                     const FanoutRules& rules) -> std::vector<std::size_t> {
  std::map<std::string, Region> regions;
  const Peer* own = nullptr;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    auto& region = regions[entries[i].region];
    region.ids.push_back(entries[i].id);
    region.suspected.push_back(entries[i].suspected && entries[i].id != self);
    region.indices.push_back(i);
    if (entries[i].id == self) own = &entries[i];
  }
  if (own == nullptr) return {};
  std::vector<std::size_t> links;
  const auto& home = regions[own->region];
  for (const auto i : ChooseRegionLinks(self, home, rules.links)) {
    // If two entries choose each other, only the one with the lower id opens a connection.
    bool opened_by_peer = false;
    if (home.ids[i] < self) {
      for (const auto j : ChooseRegionLinks(home.ids[i], home, rules.links)) {
        opened_by_peer = opened_by_peer || home.ids[j] == self;
      }
    }
    if (!opened_by_peer) links.push_back(home.indices[i]);
  }
  const auto own_bridges = ChooseBridges(home, rules.bridges);
  const bool bridge = std::any_of(own_bridges.begin(), own_bridges.end(),
                                  [&](std::size_t i) { return home.ids[i] == self; });
  if (!bridge) return links;
  for (const auto& [name, region] : regions) {
    // The region with the lexicographically lower name opens the connections.
    if (name <= own->region) continue;
    for (const auto i : ChooseBridges(region, rules.bridges)) links.push_back(region.indices[i]);
  }
  return links;
}

auto ChooseAnnounceTargets(const std::string& self, const Object& object,
                           std::span<const std::string> linked, const std::string& from,
                           const FanoutRules& rules) -> std::vector<std::size_t> {
  const auto key =
      "push/" + self + "/" + object.key.name + "/" + std::to_string(object.stamp.version);
  std::vector<std::size_t> targets;
  for (const auto i : core::RendezvousOrder(key, linked)) {
    if (targets.size() == rules.max_announce_targets) break;
    if (linked[i] != from) targets.push_back(i);
  }
  return targets;
}

}  // namespace filbertstair::config
