#include "filbertstair/cli/run.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <functional>
#include <ostream>
#include <utility>

#include "filbertstair/cli/admin.h"
#include "filbertstair/cli/check.h"
#include "filbertstair/cli/completion.h"
#include "filbertstair/cli/diff.h"
#include "filbertstair/cli/drain.h"
#include "filbertstair/cli/explain.h"
#include "filbertstair/cli/status.h"
#include "filbertstair/cli/top.h"
#include "filbertstair/cli/trace.h"
#include "filbertstair/settings/settings.h"

namespace filbertstair::cli {
namespace {

// Arguments of all subcommands; each subcommand uses only its own.
struct Arguments {
  OutputFormat output = OutputFormat::text;
  std::vector<std::string> files;
  std::string old_file;
  std::string new_file;
  // Admin addresses, and a file with additional ones.
  std::vector<std::string> addresses;
  std::string address_file;
  std::uint32_t timeout_ms = 2000;
  std::uint32_t wait_limit_s = 600;
  std::string request;
  std::string shell;
  double interval_s = 2;
  DrainOptions drain;
  ExplainOptions explain;
  TopOptions top;
};

// What a subcommand uses in addition to its arguments.
struct Context {
  const CLI::App& app;
  // For output that precedes the report.
  std::ostream& out;
};

// A subcommand: `declare` adds its arguments to the parser, `run` executes it after parsing.
struct Command {
  const char* name;
  const char* description;
  void (*declare)(CLI::App& app, Arguments& arguments);
  CommandReport (*run)(const Arguments& arguments, const Context& context);
  // Whether its positional arguments are file names.
  bool takes_files = false;
};

auto DeclareCheck(CLI::App& app, Arguments& arguments) -> void {
  app.add_option("FILES", arguments.files, "Service documents and daemon settings")->required();
}

auto DeclareDiff(CLI::App& app, Arguments& arguments) -> void {
  app.add_option("OLD", arguments.old_file, "Service document in force")->required();
  app.add_option("NEW", arguments.new_file, "Service document to replace it")->required();
}

auto AddressValidator() -> CLI::Validator {
  return {[](std::string& text) -> std::string {
            return settings::ParseAddress(text) ? "" : "\"" + text + "\" is not an address";
          },
          "IP:PORT", "address"};
}

auto DeclareTimeout(CLI::App& app, Arguments& arguments) -> void {
  app.add_option("--timeout", arguments.timeout_ms, "Milliseconds for each process to respond")
      ->check(CLI::Range(1, 600'000))
      ->option_text("MS");
}

auto DeclareProcesses(CLI::App& app, Arguments& arguments) -> void {
  auto* group = app.add_option_group("Processes", "Admin listeners to query");
  group->add_option("--admin", arguments.addresses, "Addresses of admin listeners")
      ->check(AddressValidator());
  group->add_option("--from", arguments.address_file, "File with one address per line");
  group->require_option(1, 2);
  DeclareTimeout(app, arguments);
}

auto DeclareTrace(CLI::App& app, Arguments& arguments) -> void {
  app.add_option("ID", arguments.request, "Value of the response's X-Request-Id")->required();
  DeclareProcesses(app, arguments);
}

auto DeclareTop(CLI::App& app, Arguments& arguments) -> void {
  DeclareProcesses(app, arguments);
  app.add_option("--interval", arguments.interval_s, "Seconds between two views")
      ->check(CLI::Range(0.1, 3600.0))
      ->option_text("S");
  app.add_option("--count", arguments.top.count, "Number of views to show; 0 for no limit")
      ->option_text("N");
}

auto DeclareDrain(CLI::App& app, Arguments& arguments) -> void {
  app.add_option("--admin", arguments.drain.address, "Address of the process's admin listener")
      ->required()
      ->check(AddressValidator());
  app.add_flag("--wait", arguments.drain.wait,
               "Wait until the process has no request in flight or has exited");
  app.add_option("--wait-limit", arguments.wait_limit_s, "Longest wait in seconds")
      ->check(CLI::Range(0, 86'400))
      ->option_text("S");
  DeclareTimeout(app, arguments);
}

auto DeclareExplain(CLI::App& app, Arguments& arguments) -> void {
  auto& options = arguments.explain;
  app.add_option("--documents", options.document_files, "Service documents")->required();
  app.add_option("--vms", options.vm_list_file, "File with the VM list, in the platform's format");
  app.add_option("--host", options.host, "Host header");
  app.add_option("--path", options.path, "Path of the request");
  app.add_option("--service", options.service, "X-Service header");
  app.add_option("--model", options.model, "Field `model` of the body");
  app.add_option("--workspace", options.workspace, "X-Workspace header");
  app.add_option("--method", options.method, "Method of the request");
}

auto DeclareCompletion(CLI::App& app, Arguments& arguments) -> void {
  app.add_option("SHELL", arguments.shell, "Shell: bash")
      ->required()
      ->check(CLI::IsMember({"bash"}));
}

auto ToTimeout(const Arguments& arguments) -> std::chrono::milliseconds {
  return std::chrono::milliseconds(arguments.timeout_ms);
}

// Returns the addresses from the command line and from the address file. Throws core::Error if the
// file can't be read or parsed.
auto CollectAddresses(const Arguments& arguments) -> std::vector<std::string> {
  auto addresses = arguments.addresses;
  if (arguments.address_file.empty()) return addresses;
  for (auto& address : ReadAddressFile(arguments.address_file)) {
    addresses.push_back(std::move(address));
  }
  return addresses;
}

auto RunDrain(const Arguments& arguments, const Context&) -> CommandReport {
  auto options = arguments.drain;
  options.wait_limit = std::chrono::seconds(arguments.wait_limit_s);
  options.timeout = ToTimeout(arguments);
  return Drain(options);
}

auto RunTop(const Arguments& arguments, const Context& context) -> CommandReport {
  auto options = arguments.top;
  options.addresses = CollectAddresses(arguments);
  options.timeout = ToTimeout(arguments);
  options.interval = std::chrono::milliseconds(static_cast<int>(arguments.interval_s * 1000));
  return Top(options, [&](const CommandReport& view) {
    // Moves the cursor to the top and clears the terminal, so that each view replaces the previous
    // one.
    const bool clear = options.count == 0 && arguments.output == OutputFormat::text;
    if (clear) context.out << "\x1b[H\x1b[2J";
    context.out << Render(view, arguments.output) << std::flush;
    return !context.out.fail();
  });
}

auto RunCompletion(const Arguments&, const Context& context) -> CommandReport;

constexpr Command kCommands[] = {
    {"check", "Check service documents and daemon settings, and names that several services claim",
     DeclareCheck,
     [](const Arguments& arguments, const Context&) { return Check(arguments.files); }, true},
    {"diff", "List the differences between two documents of one service", DeclareDiff,
     [](const Arguments& arguments, const Context&) {
       return Diff(arguments.old_file, arguments.new_file);
     },
     true},
    {"status", "Show the state of processes, and which differ in configuration", DeclareProcesses,
     [](const Arguments& arguments, const Context&) {
       return Status({CollectAddresses(arguments), ToTimeout(arguments)});
     }},
    {"explain", "Show how a request would be handled, from document files", DeclareExplain,
     [](const Arguments& arguments, const Context&) { return Explain(arguments.explain); }, true},
    {"drain", "Start the graceful shutdown of one process", DeclareDrain, RunDrain},
    {"top", "Show queues, slots and service of processes periodically", DeclareTop, RunTop},
    {"trace", "Show the recorded events of a recent request", DeclareTrace,
     [](const Arguments& arguments, const Context&) {
       return Trace({arguments.request, CollectAddresses(arguments), ToTimeout(arguments)});
     }},
    {"completion", "Write a completion script for a shell", DeclareCompletion, RunCompletion},
};

auto ListOptionNames(const CLI::App& app) -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto* option : app.get_options()) {
    for (const auto& name : option->get_lnames()) names.push_back("--" + name);
  }
  return names;
}

auto RunCompletion(const Arguments&, const Context& context) -> CommandReport {
  std::vector<CommandCompletion> completions;
  for (const auto& command : kCommands) {
    const auto* subcommand = context.app.get_subcommand(command.name);
    auto options = ListOptionNames(*subcommand);
    for (const auto* group : subcommand->get_subcommands([](const CLI::App*) { return true; })) {
      for (auto& name : ListOptionNames(*group)) {
        if (name != "--help") options.push_back(std::move(name));
      }
    }
    options.emplace_back("--output");
    completions.push_back({command.name, std::move(options), command.takes_files});
  }
  const auto script = BashCompletionScript(context.app.get_name(), completions);
  CommandReport report;
  // Render appends a newline to each line.
  report.lines.push_back(script.substr(0, script.size() - 1));
  report.json["script"] = script;
  return report;
}

auto DeclareOutput(CLI::App& app, OutputFormat& output) -> void {
  std::vector<std::string> names;
  for (const auto& [value, name] : core::kNames<OutputFormat>) names.emplace_back(name);
  app.add_option_function<std::string>(
         "--output",
         [&output](const std::string& name) { output = *core::ParseName<OutputFormat>(name); },
         "Output format: text or json")
      ->check(CLI::IsMember(names))
      ->option_text("FORM");
}

}  // namespace

auto Run(const std::vector<std::string>& args, std::ostream& out, std::ostream& err) -> ExitStatus {
  CLI::App app("Operators' command line for filbertstair", "filbertstair");
  app.set_version_flag("--version", "filbertstair " FILBERTSTAIR_VERSION);
  app.footer("Exit status: 0 success, 1 refused or a problem was found, 2 usage error.");
  app.require_subcommand(1);
  // Lets global options follow the subcommand.
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
    // CLI11 expects the arguments in reverse order.
    std::vector<std::string> reversed(args.rbegin(), args.rend());
    app.parse(std::move(reversed));
  } catch (const CLI::ParseError& error) {
    return app.exit(error, out, err) == 0 ? ExitStatus::done : ExitStatus::usage;
  }

  CommandReport report;
  try {
    report = selected->run(arguments, {app, out});
  } catch (const core::Error& error) {
    report = {ExitStatus::refused, {error.what()}, {{"error", ToJson(error)}}};
  }
  out << Render(report, arguments.output);
  return report.exit_status;
}

}  // namespace filbertstair::cli
