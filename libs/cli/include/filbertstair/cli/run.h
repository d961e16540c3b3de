#ifndef FILBERTSTAIR_CLI_RUN_H_
#define FILBERTSTAIR_CLI_RUN_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "filbertstair/cli/report.h"

namespace filbertstair::cli {

// Runs the command line that `args` gives, without the program's name. Writes the answer to `out`
// and errors of use to `err`. Throws nothing that concerns the arguments or the named files.
auto Run(const std::vector<std::string>& args, std::ostream& out, std::ostream& err) -> ExitStatus;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_RUN_H_
