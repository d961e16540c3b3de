#include "filbertstair/cli/explain.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <cmath>
#include <optional>

#include "filbertstair/core/reason.h"
#include "filbertstair/document/calls.h"
#include "filbertstair/document/names.h"
#include "filbertstair/document/parse.h"
#include "filbertstair/membership/vm_list.h"
#include "filbertstair/schema/value.h"

namespace filbertstair::cli {
namespace {

// The largest value that the configuration service stores.
constexpr std::size_t kMaxVmListBytes = 1'000'000;

auto AddProblem(const schema::Problem& problem, CommandReport& report) -> void {
  report.exit_status = ExitStatus::refused;
  report.lines.push_back(schema::Describe(problem));
  report.json["problems"].as_array().emplace_back(ToJson(problem));
}

auto AddRefusal(core::Reason reason, const std::string& explanation, CommandReport& report)
    -> void {
  report.exit_status = ExitStatus::refused;
  report.lines.push_back("refused with " + std::string(core::Name(reason)) + " (status " +
                         std::to_string(core::HttpStatus(reason)) + "): " + explanation);
  report.json["refusal"] = boost::json::object{{"reason", core::Name(reason)},
                                               {"status", core::HttpStatus(reason)},
                                               {"message", explanation}};
}

auto ReadDocuments(const std::vector<std::string>& files, CommandReport& report)
    -> std::vector<document::Service> {
  std::vector<document::Service> services;
  for (const auto& file : files) {
    auto parsed = document::ParseDocument(
        schema::ReadFile(file, document::kMaxDocumentBytes, core::Step::read), file);
    for (const auto& problem : parsed.problems) AddProblem(problem, report);
    if (parsed.service) services.push_back(std::move(*parsed.service));
  }
  return services;
}

auto FindService(const std::vector<document::Service>& services, const ExplainOptions& options,
                 CommandReport& report) -> document::LookupResult {
  const document::NameQuery query{.host = options.host,
                                  .path = options.path,
                                  .logical = options.service,
                                  .model = options.model};
  auto found = document::LookupService(document::BuildIndex(services).index, query);
  const auto explanation = document::Describe(found);
  if (found.failure) {
    AddRefusal(*found.failure, explanation, report);
    return found;
  }
  report.lines.push_back("service " + found.service + ", selected by the " +
                         std::string(core::Name(found.scheme)) + " name: " + explanation);
  report.json["service"] = found.service;
  report.json["scheme"] = core::Name(found.scheme);
  report.json["why"] = explanation;
  return found;
}

auto AddCallClass(const document::Service& service, const ExplainOptions& options,
                  const std::string& path, CommandReport& report) -> void {
  const auto call_class = document::ClassifyCall(service, options.method, path);
  const bool once = call_class == core::CallClass::once;
  report.lines.push_back("call " + options.method + " " + path + ": class " +
                         std::string(core::Name(call_class)) +
                         (once ? ", a rule of `once` applies: repeated only after proof of not_run"
                               : ", no rule of `once` applies: at most " +
                                     std::to_string(service.retries.max_attempts) + " attempts"));
  report.json["path"] = path;
  report.json["class"] = core::Name(call_class);
}

auto AddWorkspace(const document::Service& service, const std::string& id, CommandReport& report)
    -> void {
  const auto found = std::find_if(service.workspaces.begin(), service.workspaces.end(),
                                  [&](const auto& workspace) { return workspace.id == id; });
  if (found == service.workspaces.end()) {
    AddRefusal(core::Reason::unknown_workspace,
               "service " + service.name + " has no workspace \"" + id + "\"", report);
    return;
  }
  double weights = 0;
  for (const auto& workspace : service.workspaces) weights += workspace.weight;
  const auto queue_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(service.timeouts.queue).count();
  // Rounded to per mille, so that small shares are not shown as 0 %.
  const auto share = std::lround(1000 * found->weight / weights);
  report.lines.push_back("workspace " + id + ": share " + std::to_string(share / 10) + "." +
                         std::to_string(share % 10) + " % if all are backlogged, at most " +
                         std::to_string(found->max_waiting) +
                         " waiting at one entry, for at most " + std::to_string(queue_ms) + " ms");
  report.json["workspace"] = boost::json::object{{"id", id},
                                                 {"weight", found->weight},
                                                 {"share", found->weight / weights},
                                                 {"max_waiting", found->max_waiting},
                                                 {"queue_timeout_ms", queue_ms}};
}

auto IsEndpointOf(const document::Service& service, const membership::Vm& vm) -> bool {
  return vm.role == core::Role::endpoint &&
         std::any_of(service.pools.begin(), service.pools.end(),
                     [&](const auto& pool) { return pool.name == vm.pool; });
}

auto AddEndpoints(const document::Service& service, const std::string& file, CommandReport& report)
    -> void {
  const auto parsed =
      membership::ParseVmList(schema::ReadFile(file, kMaxVmListBytes, core::Step::read), file);
  for (const auto& problem : parsed.problems) {
    report.exit_status = ExitStatus::refused;
    report.lines.push_back(problem);
    report.json["problems"].as_array().emplace_back(problem);
  }
  if (!parsed.list) return;
  bool any_live = false;
  boost::json::array endpoints;
  for (const auto& vm : parsed.list->vms) {
    if (!IsEndpointOf(service, vm)) continue;
    const bool live = vm.state == membership::VmState::live;
    any_live = any_live || live;
    report.lines.push_back("endpoint " + vm.id + ": pool " + vm.pool + ", region " + vm.region +
                           ", " + std::string(core::Name(vm.state)) +
                           (live ? "" : ", receives no new requests"));
    endpoints.push_back(
        {{"id", vm.id}, {"pool", vm.pool}, {"region", vm.region}, {"state", core::Name(vm.state)}});
  }
  report.json["endpoints"] = std::move(endpoints);
  if (!any_live) {
    AddRefusal(core::Reason::no_endpoint, "the service has no live endpoint", report);
  }
}

auto ExplainRequest(const std::vector<document::Service>& services, const ExplainOptions& options,
                    CommandReport& report) -> void {
  const auto found = FindService(services, options, report);
  if (found.failure) return;
  const auto service = std::find_if(services.begin(), services.end(), [&](const auto& candidate) {
    return candidate.name == found.service;
  });
  AddWorkspace(*service, options.workspace, report);
  AddCallClass(*service, options, found.path, report);
  for (const auto& pool : service->pools) {
    report.lines.push_back("pool " + pool.name + ": " + std::to_string(pool.min_slots) + " to " +
                           std::to_string(pool.max_slots) + " slots at each endpoint");
  }
  if (!options.vm_list_file.empty()) AddEndpoints(*service, options.vm_list_file, report);
}

}  // namespace

auto Explain(const ExplainOptions& options) -> CommandReport {
  CommandReport report;
  report.json["problems"] = boost::json::array{};
  try {
    const auto services = ReadDocuments(options.document_files, report);
    if (report.exit_status == ExitStatus::done) ExplainRequest(services, options, report);
  } catch (const core::Error& error) {
    report.exit_status = ExitStatus::refused;
    report.lines.emplace_back(error.what());
    report.json["error"] = ToJson(error);
  }
  report.json["accepted"] = report.exit_status == ExitStatus::done;
  return report;
}

}  // namespace filbertstair::cli
