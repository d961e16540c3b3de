#ifndef FILBERTSTAIR_CLI_RUN_H_
#define FILBERTSTAIR_CLI_RUN_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

// Runs the subcommand that `args`, the arguments without the program's name, selects. Writes the
// report to `out` and usage errors to `err`. Invalid arguments and unusable files are reported, not
// thrown.
auto Run(const std::vector<std::string>& args, std::ostream& out, std::ostream& err) -> ExitStatus;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_RUN_H_
