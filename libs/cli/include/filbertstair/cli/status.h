#ifndef FILBERTSTAIR_CLI_STATUS_H_
#define FILBERTSTAIR_CLI_STATUS_H_

#include <chrono>
#include <string>
#include <vector>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

struct StatusOptions {
  // Admin listeners ("ip:port").
  std::vector<std::string> addresses;
  // Limit for the request to each process.
  std::chrono::milliseconds timeout{2000};
};

// Fetches the status of all processes and compares their configuration. The exit status is
// `refused` if a process does not respond, or if an object is not in force with the same version
// and hash in all processes that respond.
auto Status(const StatusOptions& options) -> CommandReport;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_STATUS_H_
