#include "filbertstair/cli/report.h"

#include <boost/json/serialize.hpp>

namespace filbertstair::cli {

auto Render(const CommandReport& report, OutputFormat format) -> std::string {
  if (format == OutputFormat::json) return boost::json::serialize(report.json) + "\n";
  std::string text;
  for (const auto& line : report.lines) text += line + "\n";
  return text;
}

auto ToJson(const schema::Problem& problem) -> boost::json::object {
  return {{"file", problem.file},
          {"line", problem.line},
          {"field", problem.field},
          {"found", problem.found},
          {"allowed", problem.allowed}};
}

auto ToJson(const core::Error& error) -> boost::json::object {
  return {{"step", std::string(core::Name(error.GetStep()))},
          {"peer", error.Peer()},
          {"message", error.what()}};
}

}  // namespace filbertstair::cli
