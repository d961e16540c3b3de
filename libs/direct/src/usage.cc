#include "filbertstair/direct/usage.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace filbertstair::direct {

auto MostActiveWorkspaces(const UsageTable& table, std::size_t max) -> std::vector<std::string> {
  std::vector<std::pair<double, std::string>> active;
  for (const auto& [workspace, usage] : table) {
    active.emplace_back(std::max(usage.requested, usage.started), workspace);
  }
  const auto count = std::min(max, active.size());
  std::partial_sort(active.begin(), active.begin() + static_cast<std::ptrdiff_t>(count),
                    active.end(), std::greater<>());
  std::vector<std::string> out;
  for (std::size_t i = 0; i < count; ++i) out.push_back(std::move(active[i].second));
  return out;
}

}  // namespace filbertstair::direct
