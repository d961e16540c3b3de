#ifndef FILBERTSTAIR_CLI_DRAIN_H_
#define FILBERTSTAIR_CLI_DRAIN_H_

#include <chrono>
#include <string>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

struct DrainOptions {
  // Admin listener of the process ("ip:port").
  std::string address;
  // Whether to wait until the process has no request in flight or has exited.
  bool wait = false;
  // Longest time to wait if `wait` is set.
  std::chrono::milliseconds wait_limit{600'000};
  // Limit for each admin request to the process.
  std::chrono::milliseconds timeout{2000};
};

// Starts the graceful shutdown of one process. The exit status is `refused` if the process can't be
// reached or rejects the request, or if requests are still in flight when the wait ends.
auto Drain(const DrainOptions& options) -> CommandReport;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_DRAIN_H_
