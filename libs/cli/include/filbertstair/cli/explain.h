#ifndef FILBERTSTAIR_CLI_EXPLAIN_H_
#define FILBERTSTAIR_CLI_EXPLAIN_H_

#include <string>
#include <vector>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

// A request, and the configuration that it is to meet. Empty texts stand for absent values.
struct ExplainOptions {
  // Service documents.
  std::vector<std::string> document_files;
  // VM list in the platform's form.
  std::string vm_list_file;
  // Host header, request target, X-Service header, field `model` of the body, X-Workspace header.
  std::string host;
  std::string path = "/";
  std::string service;
  std::string model;
  std::string workspace;
  std::string method = "GET";
};

// Tells without a running fleet which service, endpoints, limits and call class the request would
// meet, and why. The exit status is `refused` if a file is not valid or an entry would refuse the
// request.
auto Explain(const ExplainOptions& options) -> Report;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_EXPLAIN_H_
