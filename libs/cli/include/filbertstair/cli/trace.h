#ifndef FILBERTSTAIR_CLI_TRACE_H_
#define FILBERTSTAIR_CLI_TRACE_H_

#include <chrono>
#include <string>
#include <vector>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

struct TraceOptions {
  // Request id, from the X-Request-Id header of the response.
  std::string request;
  // Admin listeners ("ip:port").
  std::vector<std::string> addresses;
  // Limit for the request to each process.
  std::chrono::milliseconds timeout{2000};
};

// Fetches the events that all processes recorded for a request, and lists them by time. Times are
// those of the processes' wall clocks. Throws core::Error if the request id is empty or has
// characters that no id contains. The exit status is `refused` if no process has a record of the
// request; an unreachable process alone does not change it, as the others may have handled the
// request.
auto Trace(const TraceOptions& options) -> CommandReport;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_TRACE_H_
