#ifndef FILBERTSTAIR_CLI_TOP_H_
#define FILBERTSTAIR_CLI_TOP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

struct TopOptions {
  // Admin listeners ("ip:port").
  std::vector<std::string> addresses;
  // Limit for the request to each process in each view.
  std::chrono::milliseconds timeout{2000};
  // Pause between two views.
  std::chrono::milliseconds interval{2000};
  // Number of views to show; 0 for no limit.
  std::uint64_t count = 0;
};

// Periodically samples processes and accounts. Calls `show` with each view except the last of
// `count`, and stops when `show` returns false. Returns the last view. A process that does not
// respond stays listed with its error; the exit status of a view is `refused` if none responds.
auto Top(const TopOptions& options, const std::function<bool(const CommandReport&)>& show)
    -> CommandReport;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_TOP_H_
