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
  std::vector<std::string> addresses;
  // For each process and view.
  std::chrono::milliseconds timeout{2000};
  std::chrono::milliseconds interval{2000};
  // Views until the end; 0 for no end.
  std::uint64_t count = 0;
};

// Shows processes and accounts again and again: calls `show` with each view but the last, until it
// returns false. Returns the last view. A process that does not answer stays listed with its error;
// the exit status of a view is `refused` if none answers.
auto Top(const TopOptions& options, const std::function<bool(const Report&)>& show) -> Report;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_TOP_H_
