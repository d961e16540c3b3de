#ifndef FILBERTSTAIR_CLI_COMPLETION_H_
#define FILBERTSTAIR_CLI_COMPLETION_H_

#include <string>
#include <vector>

namespace filbertstair::cli {

// A subcommand and the options that may follow it, with their dashes.
struct CommandCompletion {
  std::string name;
  std::vector<std::string> options;
  // Whether its other arguments are file names.
  bool takes_files = false;
};

// Returns a bash script that completes `program`: subcommands first, then the options of the
// subcommand and file names.
auto BashCompletionScript(const std::string& program,
                          const std::vector<CommandCompletion>& commands) -> std::string;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_COMPLETION_H_
