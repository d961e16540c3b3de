#include "filbertstair/cli/diff.h"

#include <boost/json/array.hpp>
#include <optional>
#include <utility>

#include "filbertstair/document/diff.h"
#include "filbertstair/document/parse.h"
#include "filbertstair/schema/value.h"

namespace filbertstair::cli {
namespace {

// Adds a reason for which the new document could not replace the old one.
auto Refuse(Answer& answer, const std::string& reason) -> void {
  answer.exit = Exit::refused;
  answer.lines.push_back(reason);
  answer.json["refusals"].as_array().emplace_back(reason);
}

auto ReadDocument(const std::string& file, Answer& answer) -> std::optional<document::Service> {
  try {
    auto result = document::ParseDocument(
        schema::ReadFile(file, document::kMaxDocumentBytes, core::Step::read), file);
    for (const auto& problem : result.problems) {
      answer.exit = Exit::refused;
      answer.lines.push_back(schema::Describe(problem));
      answer.json["problems"].as_array().emplace_back(ToJson(problem));
    }
    return std::move(result.service);
  } catch (const core::Error& error) {
    answer.exit = Exit::refused;
    answer.lines.emplace_back(error.what());
    answer.json["errors"].as_array().emplace_back(ToJson(error));
    return std::nullopt;
  }
}

auto AddChange(const document::Change& change, Answer& answer) -> void {
  answer.lines.push_back(document::Describe(change));
  answer.json["changes"].as_array().emplace_back(
      boost::json::object{{"kind", std::string(core::Name(change.kind))},
                          {"field", change.field},
                          {"before", change.before},
                          {"after", change.after}});
}

}  // namespace

auto Diff(const std::string& old_file, const std::string& new_file) -> Answer {
  Answer answer;
  for (const auto* list : {"changes", "refusals", "problems", "errors"}) {
    answer.json[list] = boost::json::array{};
  }
  const auto before = ReadDocument(old_file, answer);
  const auto after = ReadDocument(new_file, answer);
  if (before && after) {
    const auto changes = document::Diff(*before, *after);
    for (const auto& change : changes) AddChange(change, answer);
    if (before->name != after->name) {
      Refuse(answer,
             "the documents belong to different services: " + before->name + " and " + after->name);
    } else if (!changes.empty() && after->version <= before->version) {
      Refuse(answer, "the documents differ, but version " + std::to_string(after->version) +
                         " of " + new_file + " is not above version " +
                         std::to_string(before->version) + " of " + old_file);
    }
  }
  answer.json["accepted"] = answer.exit == Exit::done;
  return answer;
}

}  // namespace filbertstair::cli
