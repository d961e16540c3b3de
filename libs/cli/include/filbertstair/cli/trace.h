#ifndef FILBERTSTAIR_CLI_TRACE_H_
#define FILBERTSTAIR_CLI_TRACE_H_

#include <chrono>
#include <string>
#include <vector>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

struct TraceOptions {
  // Value of the response's X-Request-Id.
  std::string request;
  std::vector<std::string> addresses;
  // For each process.
  std::chrono::milliseconds timeout{2000};
};

// Asks all processes what they recorded of a request, and lists it by time. Times are those of the
// processes' wall clocks. The exit status is `refused` if no process remembers the request; an
// unreachable process alone does not change it, as the others may have handled the request.
auto Trace(const TraceOptions& options) -> Report;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_TRACE_H_
