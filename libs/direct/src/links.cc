#include "filbertstair/direct/links.h"

#include <vector>

#include "filbertstair/core/rendezvous.h"

namespace filbertstair::direct {

auto FindDisplacedLink(const std::string& self, std::span<const std::string> linked,
                       const std::string& candidate) -> std::optional<std::string> {
  std::vector<std::string> addresses(linked.begin(), linked.end());
  addresses.push_back(candidate);
  const auto& displaced = addresses[core::RendezvousOrder(self, addresses).back()];
  if (displaced == candidate) return std::nullopt;
  return displaced;
}

}  // namespace filbertstair::direct
