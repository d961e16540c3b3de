#include "filbertstair/cli/run.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <functional>
#include <ostream>
#include <utility>

#include "filbertstair/cli/check.h"
#include "filbertstair/cli/diff.h"

namespace filbertstair::cli {
namespace {

// Arguments of all subcommands; each uses its own.
struct Arguments {
  Output output = Output::text;
  std::vector<std::string> files;
  std::string old_file;
  std::string new_file;
};

// One subcommand: declares its arguments, and answers once they are read.
struct Command {
  const char* name;
  const char* description;
  void (*declare)(CLI::App& app, Arguments& arguments);
  Answer (*answer)(const Arguments& arguments);
};

auto DeclareCheck(CLI::App& app, Arguments& arguments) -> void {
  app.add_option("FILES", arguments.files, "Service documents and daemon settings")->required();
}

auto DeclareDiff(CLI::App& app, Arguments& arguments) -> void {
  app.add_option("OLD", arguments.old_file, "Service document in force")->required();
  app.add_option("NEW", arguments.new_file, "Service document to replace it")->required();
}

constexpr Command kCommands[] = {
    {"check", "Check service documents and daemon settings, and names that several services claim",
     DeclareCheck, [](const Arguments& arguments) { return Check(arguments.files); }},
    {"diff", "List the differences between two documents of one service", DeclareDiff,
     [](const Arguments& arguments) { return Diff(arguments.old_file, arguments.new_file); }},
};

auto DeclareOutput(CLI::App& app, Output& output) -> void {
  std::vector<std::string> names;
  for (const auto& [value, name] : core::kNames<Output>) names.emplace_back(name);
  app.add_option_function<std::string>(
         "--output", [&output](const std::string& name) { output = *core::Parse<Output>(name); },
         "Form of the answer: text or json")
      ->check(CLI::IsMember(names))
      ->option_text("FORM");
}

}  // namespace

auto Run(const std::vector<std::string>& args, std::ostream& out, std::ostream& err) -> Exit {
  CLI::App app("Operators' command line for filbertstair", "filbertstair");
  app.set_version_flag("--version", "filbertstair " FILBERTSTAIR_VERSION);
  app.footer("Exit status: 0 done, 1 refused or something found wrong, 2 wrong use.");
  app.require_subcommand(1);
  // Lets options of the program follow the subcommand.
  app.fallthrough();

  Arguments arguments;
  DeclareOutput(app, arguments.output);
  const Command* selected = nullptr;
  for (const auto& command : kCommands) {
    auto* subcommand = app.add_subcommand(command.name, command.description);
    command.declare(*subcommand, arguments);
    subcommand->callback([&selected, &command] { selected = &command; });
  }

  try {
    // The library takes the arguments from the back.
    std::vector<std::string> reversed(args.rbegin(), args.rend());
    app.parse(std::move(reversed));
  } catch (const CLI::ParseError& error) {
    return app.exit(error, out, err) == 0 ? Exit::done : Exit::usage;
  }

  const auto answer = selected->answer(arguments);
  out << Render(answer, arguments.output);
  return answer.exit;
}

}  // namespace filbertstair::cli
