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

// Form in which an answer is written.
enum class OutputFormat { text, json };

// Exit status of the command line, by numeric value: 0 done, 1 refused or something found wrong, 2
// wrong use.
enum class ExitStatus { done, refused, usage };

// What a subcommand found. Each subcommand is a function from its options to a Report; only Render
// depends on the form of the output.
struct Report {
  ExitStatus exit_status = ExitStatus::done;
  // Lines for the text form, without line ends.
  std::vector<std::string> lines;
  // The same content for the JSON form.
  boost::json::object json;
};

// Returns the answer in the given form, with a final line end if it is not empty.
auto Render(const Report& report, OutputFormat format) -> std::string;

// JSON forms that several subcommands use.
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
