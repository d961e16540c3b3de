#ifndef FILBERTSTAIR_CONFIG_FANOUT_H_
#define FILBERTSTAIR_CONFIG_FANOUT_H_

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "filbertstair/config/object.h"
#include "filbertstair/core/types.h"

namespace filbertstair::config {

// Entry that may be chosen as a peer for a link.
struct Peer {
  std::string id;
  std::string region;
  // Whether this process suspects the peer to have failed. A suspected peer is replaced by the next
  // one in the rendezvous order.
  bool suspected = false;
};

// Parameters of the gossip of configuration changes between entries.
struct FanoutRules {
  // Number of links that each entry opens to entries of its own region. Peers open about as many to
  // it.
  std::size_t links = 4;
  // Number of entries per region that are linked to those of the other regions.
  std::size_t bridges = 4;
  // Maximum number of peers to which a change is announced immediately. The others learn of it from
  // the periodic digests.
  std::size_t max_announce_targets = 8;
  // Interval between periodic digests on a link.
  core::Duration digest_period = std::chrono::seconds(1);
};

// Returns the indices of the entries to which `self` opens links, or none if `entries` lacks
// `self`. The links of all entries form a random graph. If many entries freeze at once, a few
// others may lose all their links; they get new ones once they suspect the frozen entries.
auto ChoosePeerLinks(const std::string& self, std::span<const Peer> entries,
                     const FanoutRules& rules) -> std::vector<std::size_t>;

// Returns the indices in `linked` of the peers to which a newly accepted object is announced
// immediately: at most `max_announce_targets`, excluding the peer `from` that sent it. The choice
// depends on the object, its version and `self`, so that different changes use different links.
auto ChooseAnnounceTargets(const std::string& self, const Object& object,
                           std::span<const std::string> linked, const std::string& from,
                           const FanoutRules& rules) -> std::vector<std::size_t>;

}  // namespace filbertstair::config

#endif  // FILBERTSTAIR_CONFIG_FANOUT_H_
