#ifndef FILBERTSTAIR_CLI_REPORT_H_
#define FILBERTSTAIR_CLI_REPORT_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>
#include <vector>

#include "filbertstair/core/error.h"
#include "filbertstair/core/names.h"
#include "filbertstair/schema/problem.h"

namespace filbertstair::cli {

// Format in which a report is written.
enum class OutputFormat { text, json };

// Exit status of the command line tool, by numeric value: 0 success, 1 rejected input or a detected
// problem, 2 usage error.
enum class ExitStatus { done, refused, usage };

// Result of a subcommand. Each subcommand is a function from its options to a CommandReport; only
// Render depends on the output format.
struct CommandReport {
  ExitStatus exit_status = ExitStatus::done;
  // Lines of the text format, without newlines.
  std::vector<std::string> lines;
  // The same content for the JSON format.
  boost::json::object json;
};

// Formats the report. The text ends with a newline unless it is empty.
auto Render(const CommandReport& report, OutputFormat format) -> std::string;

// JSON representations shared by several subcommands.
auto ToJson(const schema::Problem& problem) -> boost::json::object;
auto ToJson(const core::Error& error) -> boost::json::object;

}  // namespace filbertstair::cli

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::cli::OutputFormat, 2>
    filbertstair::core::kNames<filbertstair::cli::OutputFormat>{
        {{filbertstair::cli::OutputFormat::text, "text"},
         {filbertstair::cli::OutputFormat::json, "json"}}};

template <>
inline constexpr filbertstair::core::NameTable<filbertstair::cli::ExitStatus, 3>
    filbertstair::core::kNames<filbertstair::cli::ExitStatus>{
        {{filbertstair::cli::ExitStatus::done, "done"},
         {filbertstair::cli::ExitStatus::refused, "refused"},
         {filbertstair::cli::ExitStatus::usage, "usage"}}};

#endif  // FILBERTSTAIR_CLI_REPORT_H_
