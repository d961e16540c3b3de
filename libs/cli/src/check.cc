#include "filbertstair/cli/check.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <map>
#include <optional>
#include <utility>

#include "filbertstair/document/names.h"
#include "filbertstair/document/parse.h"
#include "filbertstair/schema/value.h"
#include "filbertstair/settings/settings.h"

namespace filbertstair::cli {
namespace {

enum class FileKind { document, settings };

// Result of checking one file.
struct FileResult {
  FileKind kind = FileKind::document;
  // Set for a valid document.
  std::optional<document::Service> service{};
  std::vector<schema::Problem> problems{};
};

auto DetectKind(std::string_view text) -> FileKind {
  schema::ProblemReport ignored;
  const auto root = schema::LoadYaml(text, document::kMaxDocumentBytes, ignored);
  const auto is_settings =
      root && std::any_of(root->items.begin(), root->items.end(),
                          [](const auto& field) { return field.name == "role"; });
  return is_settings ? FileKind::settings : FileKind::document;
}

// Throws core::Error if the file cannot be read.
auto CheckFile(const std::string& file) -> FileResult {
  static_assert(document::kMaxDocumentBytes == settings::kMaxSettingsBytes);
  const auto text = schema::ReadFile(file, document::kMaxDocumentBytes, core::Step::read);
  FileResult result{.kind = DetectKind(text)};
  if (result.kind == FileKind::settings) {
    result.problems = settings::ParseSettings(text, file).problems;
  } else {
    auto parsed = document::ParseDocument(text, file);
    result.service = std::move(parsed.service);
    result.problems = std::move(parsed.problems);
  }
  return result;
}

auto AddFile(const std::string& file, const FileResult& result, CommandReport& report) -> void {
  boost::json::array problems;
  for (const auto& problem : result.problems) {
    report.lines.push_back(schema::Describe(problem));
    problems.emplace_back(ToJson(problem));
  }
  boost::json::object entry{{"file", file},
                            {"kind", result.kind == FileKind::settings ? "settings" : "document"},
                            {"accepted", result.problems.empty()},
                            {"problems", std::move(problems)}};
  if (result.service) {
    entry["service"] = result.service->name;
    entry["version"] = result.service->version;
    report.lines.push_back(file + ": document of service " + result.service->name + ", version " +
                           std::to_string(result.service->version) + ", accepted");
  } else if (result.problems.empty()) {
    report.lines.push_back(file + ": settings, accepted");
  } else {
    report.exit_status = ExitStatus::refused;
  }
  report.json["files"].as_array().emplace_back(std::move(entry));
}

auto AddError(const core::Error& error, CommandReport& report) -> void {
  report.exit_status = ExitStatus::refused;
  report.lines.emplace_back(error.what());
  report.json["errors"].as_array().emplace_back(ToJson(error));
}

// Adds services that several of the files describe.
auto AddDuplicates(const std::vector<std::pair<std::string, document::Service>>& services,
                   CommandReport& report) -> void {
  std::map<std::string, std::string> first_files;
  for (const auto& [file, service] : services) {
    const auto [first, inserted] = first_files.emplace(service.name, file);
    if (inserted) continue;
    report.exit_status = ExitStatus::refused;
    report.lines.push_back("service " + service.name + " is described by " + first->second +
                           " and by " + file);
    report.json["duplicates"].as_array().emplace_back(boost::json::object{
        {"service", service.name}, {"files", boost::json::array{first->second, file}}});
  }
}

// Adds names that several of the services claim.
auto AddConflicts(const std::vector<std::pair<std::string, document::Service>>& services,
                  CommandReport& report) -> void {
  std::vector<document::Service> all;
  all.reserve(services.size());
  for (const auto& [file, service] : services) all.push_back(service);
  for (const auto& conflict : document::BuildIndex(all).conflicts) {
    report.exit_status = ExitStatus::refused;
    const auto scheme = std::string(core::Name(conflict.scheme));
    report.lines.push_back(scheme + " name \"" + conflict.name + "\" is claimed by services " +
                           conflict.kept_service + " and " + conflict.refused_service);
    report.json["conflicts"].as_array().emplace_back(boost::json::object{
        {"scheme", scheme},
        {"name", conflict.name},
        {"services", boost::json::array{conflict.kept_service, conflict.refused_service}}});
  }
}

}  // namespace

auto Check(const std::vector<std::string>& files) -> CommandReport {
  CommandReport report;
  for (const auto* list : {"files", "errors", "duplicates", "conflicts"}) {
    report.json[list] = boost::json::array{};
  }
  std::vector<std::pair<std::string, document::Service>> services;
  for (const auto& file : files) {
    try {
      auto result = CheckFile(file);
      AddFile(file, result, report);
      if (result.service) services.emplace_back(file, std::move(*result.service));
    } catch (const core::Error& error) {
      AddError(error, report);
    }
  }
  AddDuplicates(services, report);
  AddConflicts(services, report);
  report.json["accepted"] = report.exit_status == ExitStatus::done;
  return report;
}

}  // namespace filbertstair::cli
