#ifndef FILBERTSTAIR_CLI_DIFF_H_
#define FILBERTSTAIR_CLI_DIFF_H_

#include <string>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

// Lists the differences between two documents of one service. The exit status is `refused` if a
// file cannot be read or is not a valid document, or if the new document could not replace the old
// one in a fleet: it describes another service, or it differs and its version is not higher.
auto Diff(const std::string& old_file, const std::string& new_file) -> CommandReport;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_DIFF_H_
