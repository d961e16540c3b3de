#include "filbertstair/direct/usage.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace filbertstair::direct {

auto MostActive(const UsageTable& table, std::size_t max) -> std::vector<std::string> {
  std::vector<std::pair<double, std::string>> active;
  for (const auto& [workspace, usage] : table) {
    active.emplace_back(std::max(usage.asked, usage.begun), workspace);
  }
  const auto kept = std::min(max, active.size());
  std::partial_sort(active.begin(), active.begin() + static_cast<std::ptrdiff_t>(kept),
                    active.end(), std::greater<>());
  std::vector<std::string> out;
  for (std::size_t i = 0; i < kept; ++i) out.push_back(std::move(active[i].second));
  return out;
}

}  // namespace filbertstair::direct
