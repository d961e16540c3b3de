#ifndef FILBERTSTAIR_CLI_COMPLETION_H_
#define FILBERTSTAIR_CLI_COMPLETION_H_

#include <string>
#include <vector>

namespace filbertstair::cli {

// Completion candidates of a subcommand: its name, and its options with their leading dashes.
struct CommandCompletion {
  std::string name;
  std::vector<std::string> options;
  // Whether its positional arguments are file names.
  bool takes_files = false;
};

// Returns a bash script that completes the command line of `program`: first the subcommand, then
// its options and, where it takes them, file names.
auto BashCompletionScript(const std::string& program,
                          const std::vector<CommandCompletion>& commands) -> std::string;

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_COMPLETION_H_
