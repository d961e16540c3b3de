#ifndef FILBERTSTAIR_CONFIG_FANOUT_H_
#define FILBERTSTAIR_CONFIG_FANOUT_H_

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "filbertstair/config/object.h"
#include "filbertstair/core/types.h"

namespace filbertstair::config {

// Entry as a candidate for links between entries.
struct Peer {
  std::string id;
  std::string region;
  // This process's own suspicion. A suspected peer is replaced by the next one in the order.
  bool suspected = false;
};

struct FanoutRules {
  // Links that each entry opens to entries of its own region; about as many more are opened to it.
  std::size_t links = 4;
  // Entries per region that keep links to those of the other regions.
  std::size_t bridges = 4;
  // Peers that a change is announced to at once; the digests reach the others.
  std::size_t max_announce_targets = 8;
  // Time between two periodic digests on a link.
  core::Duration digest_period = std::chrono::seconds(1);
};

// Returns the indices of the entries to which `self` opens links. The union over all entries is a
// random graph. A sudden freeze of many entries can leave a few others without a link; they
// have new ones once they suspect the frozen ones.
auto ChoosePeerLinks(const std::string& self, std::span<const Peer> entries,
                     const FanoutRules& rules) -> std::vector<std::size_t>;

// Returns the indices of the linked peers to which a newly accepted object is announced at once, at
// most `announce`, without the peer `from` that sent it. The order depends on the object, its
// version and `self`, so that different changes load different links.
auto ChooseAnnounceTargets(const std::string& self, const Object& object,
                           std::span<const std::string> linked, const std::string& from,
                           const FanoutRules& rules) -> std::vector<std::size_t>;

}  // namespace filbertstair::config

#endif  // FILBERTSTAIR_CONFIG_FANOUT_H_
