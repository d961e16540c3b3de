#ifndef FILBERTSTAIR_DIRECT_USAGE_H_
#define FILBERTSTAIR_DIRECT_USAGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace filbertstair::direct {

// Service that a workspace requested of one service through one entry within a period, and its
// outcome. Service is in tokens for a model, in requests otherwise.
struct WorkspaceUsage {
  std::uint32_t requests = 0;
  double requested = 0;
  // Service of the requests that were assigned to a replica, and of those whose response started.
  double admitted = 0;
  double started = 0;
  // Requests refused for lack of capacity, and for any other reason.
  std::uint32_t refused_no_capacity = 0;
  std::uint32_t refused_other = 0;
};

// Usage of one service by workspace.
using UsageTable = std::map<std::string, WorkspaceUsage, std::less<>>;

// Returns at most `max` workspaces, in descending order of the larger of requested and started
// service.
auto MostActiveWorkspaces(const UsageTable& table, std::size_t max) -> std::vector<std::string>;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_USAGE_H_
