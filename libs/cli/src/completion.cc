#include "filbertstair/cli/completion.h"

namespace filbertstair::cli {
namespace {

auto Join(const std::vector<std::string>& words) -> std::string {
  std::string text;
  for (const auto& word : words) text += (text.empty() ? "" : " ") + word;
  return text;
}

}  // namespace

auto BashCompletionScript(const std::string& program,
                          const std::vector<CommandCompletion>& commands) -> std::string {
  std::vector<std::string> names;
  std::string cases;
  for (const auto& command : commands) {
    names.push_back(command.name);
    cases += "    " + command.name + ") words=\"" + Join(command.options) +
             "\"; files=" + (command.takes_files ? "1" : "") + " ;;\n";
  }
  const auto function = "_" + program;
  return function + "() {\n" +
         "  local current=\"${COMP_WORDS[COMP_CWORD]}\" command=\"\" words=\"\" files=\"\" word\n"
         "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
         "    case \" " +
         Join(names) +
         " \" in *\" $word \"*) command=\"$word\"; break ;; esac\n"
         "  done\n"
         "  case \"$command\" in\n" +
         cases + "    *) words=\"" + Join(names) +
         " --help --version --output\" ;;\n"
         "  esac\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
         "  if [[ $files && $current != -* ]]; then\n"
         "    COMPREPLY+=($(compgen -f -- \"$current\"))\n"
         "  fi\n"
         "}\n"
         "complete -o filenames -F " +
         function + " " + program + "\n";
}

}  // namespace filbertstair::cli
