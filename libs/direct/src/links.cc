#include "filbertstair/direct/links.h"

#include <vector>

#include "filbertstair/core/rendezvous.h"

namespace filbertstair::direct {

auto Displaced(const std::string& self, std::span<const std::string> linked,
               const std::string& candidate) -> std::optional<std::string> {
  std::vector<std::string> all(linked.begin(), linked.end());
  all.push_back(candidate);
  const auto& last = all[core::RendezvousOrder(self, all).back()];
  if (last == candidate) return std::nullopt;
  return last;
}

}  // namespace filbertstair::direct
