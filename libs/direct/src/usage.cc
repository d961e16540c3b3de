#include "filbertstair/direct/usage.h"

#include <algorithm>

namespace filbertstair::direct {

auto MostRefused(const UsageTable& table, std::size_t max) -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& [workspace, usage] : table) {
    if (usage.refused_no_room + usage.refused_other > 0) out.push_back(workspace);
  }
  const auto kept = std::min(max, out.size());
  std::partial_sort(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(kept), out.end(),
                    [&](const std::string& a, const std::string& b) {
                      return table.at(a).asked > table.at(b).asked;
                    });
  out.resize(kept);
  return out;
}

}  // namespace filbertstair::direct
