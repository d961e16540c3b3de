#ifndef FILBERTSTAIR_CLI_EXPLAIN_H_
#define FILBERTSTAIR_CLI_EXPLAIN_H_

#include <string>
#include <vector>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

// A request, and the configuration files to evaluate it against. An empty string stands for an
// absent value.
struct ExplainOptions {
  // Files with service documents.
  std::vector<std::string> document_files;
  // File with the VM list, in the platform's JSON format.
  std::string vm_list_file;
  // Host header, request target, X-Service header, field `model` of the body, X-Workspace header.
  std::string host;
  std::string path = "/";
  std::string service;
  std::string model;
  std::string workspace;
  std::string method = "GET";
};

// Determines, without a running fleet, which service, endpoints, limits and call class apply to the
// request, and why. The exit status is `refused` if a file is not valid or an entry would refuse
// the request.
auto Explain(const ExplainOptions& options) -> CommandReport;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_EXPLAIN_H_
