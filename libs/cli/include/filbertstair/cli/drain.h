#ifndef FILBERTSTAIR_CLI_DRAIN_H_
#define FILBERTSTAIR_CLI_DRAIN_H_

#include <chrono>
#include <string>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

struct DrainOptions {
  std::string address;
  // Whether to wait until the process has no request in flight or is gone.
  bool wait = false;
  // Longest such wait.
  std::chrono::milliseconds wait_limit{600'000};
  // For each request to the process.
  std::chrono::milliseconds timeout{2000};
};

// Begins the graceful shutdown of one process. The exit status is `refused` if the process can't be
// reached or does not accept, or if the wait ended before its requests.
auto Drain(const DrainOptions& options) -> Report;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_DRAIN_H_
