#include "filbertstair/cli/diff.h"

#include <boost/json/array.hpp>
#include <optional>
#include <utility>

#include "filbertstair/document/diff.h"
#include "filbertstair/document/parse.h"
#include "filbertstair/schema/value.h"

namespace filbertstair::cli {
namespace {

// Adds a reason why the new document could not replace the old one.
auto AddRefusal(CommandReport& report, const std::string& reason) -> void {
  report.exit_status = ExitStatus::refused;
  report.lines.push_back(reason);
  report.json["refusals"].as_array().emplace_back(reason);
}

auto ReadDocument(const std::string& file, CommandReport& report)
    -> std::optional<document::Service> {
  try {
    auto result = document::ParseDocument(
        schema::ReadFile(file, document::kMaxDocumentBytes, core::Step::read), file);
    for (const auto& problem : result.problems) {
      report.exit_status = ExitStatus::refused;
      report.lines.push_back(schema::Describe(problem));
      report.json["problems"].as_array().emplace_back(ToJson(problem));
    }
    return std::move(result.service);
  } catch (const core::Error& error) {
    report.exit_status = ExitStatus::refused;
    report.lines.emplace_back(error.what());
    report.json["errors"].as_array().emplace_back(ToJson(error));
    return std::nullopt;
  }
}

auto AddChange(const document::Change& change, CommandReport& report) -> void {
  report.lines.push_back(document::Describe(change));
  report.json["changes"].as_array().emplace_back(
      boost::json::object{{"kind", std::string(core::Name(change.kind))},
                          {"field", change.field},
                          {"before", change.before},
                          {"after", change.after}});
}

}  // namespace

auto Diff(const std::string& old_file, const std::string& new_file) -> CommandReport {
  CommandReport report;
  for (const auto* list : {"changes", "refusals", "problems", "errors"}) {
    report.json[list] = boost::json::array{};
  }
  const auto before = ReadDocument(old_file, report);
  const auto after = ReadDocument(new_file, report);
  if (before && after) {
    const auto changes = document::Diff(*before, *after);
    for (const auto& change : changes) AddChange(change, report);
    if (before->name != after->name) {
      AddRefusal(report, "the documents belong to different services: " + before->name + " and " +
                             after->name);
    } else if (!changes.empty() && after->version <= before->version) {
      AddRefusal(report, "the documents differ, but version " + std::to_string(after->version) +
                             " of " + new_file + " is not above version " +
                             std::to_string(before->version) + " of " + old_file);
    }
  }
  report.json["accepted"] = report.exit_status == ExitStatus::done;
  return report;
}

}  // namespace filbertstair::cli
