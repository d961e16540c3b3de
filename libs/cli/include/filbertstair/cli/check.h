#ifndef FILBERTSTAIR_CLI_CHECK_H_
#define FILBERTSTAIR_CLI_CHECK_H_

#include <string>
#include <vector>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

// Checks service documents and daemon settings. A file with the field `role` is taken for settings,
// any other for a document. The answer lists all problems of all files, files that cannot be read,
// services that several files describe, and names that several services claim; with any of them
// its exit status is `refused`.
auto Check(const std::vector<std::string>& files) -> Report;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_CHECK_H_
