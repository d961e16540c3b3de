#ifndef FILBERTSTAIR_DIRECT_USAGE_H_
#define FILBERTSTAIR_DIRECT_USAGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace filbertstair::direct {

// What a workspace asked of a service through one entry within a period, and what became of it.
// Service is in tokens for a model, in requests otherwise.
struct WorkspaceUsage {
  std::uint32_t requests = 0;
  double requested = 0;
  // Service of the requests that were assigned to a replica, and of those whose first event came.
  double admitted = 0;
  double started = 0;
  // Requests refused for lack of room, and for any other reason.
  std::uint32_t refused_no_capacity = 0;
  std::uint32_t refused_other = 0;
};

// Usage of one service by workspace.
using UsageTable = std::map<std::string, WorkspaceUsage, std::less<>>;

// Returns the workspaces that asked for most, or of which most has begun, at most `max`.
auto MostActiveWorkspaces(const UsageTable& table, std::size_t max) -> std::vector<std::string>;

}  // namespace filbertstair::direct

#endif  // FILBERTSTAIR_DIRECT_USAGE_H_
