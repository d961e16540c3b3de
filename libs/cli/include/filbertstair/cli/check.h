#ifndef FILBERTSTAIR_CLI_CHECK_H_
#define FILBERTSTAIR_CLI_CHECK_H_

#include <string>
#include <vector>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

// Validates service documents and daemon settings. A file with the field `role` is treated as
// settings, any other as a document. The report lists all problems of all files, unreadable files,
// services that several files describe, and names that several services claim; if there is any of
// these, the exit status is `refused`.
auto Check(const std::vector<std::string>& files) -> CommandReport;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_CHECK_H_
