#ifndef FILBERTSTAIR_CLI_STATUS_H_
#define FILBERTSTAIR_CLI_STATUS_H_

#include <chrono>
#include <string>
#include <vector>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

struct StatusOptions {
  std::vector<std::string> addresses;
  // For each process.
  std::chrono::milliseconds timeout{2000};
};

// Asks all processes for their status and compares their configuration. The exit status is
// `refused` if a process does not answer, or if an object is not in force with the same version and
// hash in all that do.
auto Status(const StatusOptions& options) -> Report;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_STATUS_H_
