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

// Largest VM list: the largest value that the configuration service holds.
constexpr std::size_t kMaxVmList = 1'000'000;

auto AddProblem(const schema::Problem& problem, Answer& answer) -> void {
  answer.exit = Exit::refused;
  answer.lines.push_back(schema::Describe(problem));
  answer.json["problems"].as_array().emplace_back(ToJson(problem));
}

auto AddRefusal(core::Reason reason, const std::string& why, Answer& answer) -> void {
  answer.exit = Exit::refused;
  answer.lines.push_back("refused with " + std::string(core::Name(reason)) + " (status " +
                         std::to_string(core::HttpStatus(reason)) + "): " + why);
  answer.json["refusal"] = boost::json::object{
      {"reason", core::Name(reason)}, {"status", core::HttpStatus(reason)}, {"message", why}};
}

auto ReadDocuments(const std::vector<std::string>& files, Answer& answer)
    -> std::vector<document::Service> {
  std::vector<document::Service> services;
  for (const auto& file : files) {
    auto parsed = document::ParseDocument(
        schema::ReadFile(file, document::kMaxDocumentBytes, core::Step::read), file);
    for (const auto& problem : parsed.problems) AddProblem(problem, answer);
    if (parsed.service) services.push_back(std::move(*parsed.service));
  }
  return services;
}

auto FindService(const std::vector<document::Service>& services, const ExplainOptions& options,
                 Answer& answer) -> document::LookupResult {
  const document::NameQuery query{.host = options.host,
                                  .path = options.path,
                                  .logical = options.service,
                                  .model = options.model};
  auto found = document::LookupService(document::BuildIndex(services).index, query);
  const auto why = document::Describe(found);
  if (found.failure) {
    AddRefusal(*found.failure, why, answer);
    return found;
  }
  answer.lines.push_back("service " + found.service + ", selected by the " +
                         std::string(core::Name(found.scheme)) + " name: " + why);
  answer.json["service"] = found.service;
  answer.json["scheme"] = core::Name(found.scheme);
  answer.json["why"] = why;
  return found;
}

auto AddClass(const document::Service& service, const ExplainOptions& options,
              const std::string& path, Answer& answer) -> void {
  const auto call_class = document::ClassifyCall(service, options.method, path);
  const bool once = call_class == core::CallClass::once;
  answer.lines.push_back("call " + options.method + " " + path + ": class " +
                         std::string(core::Name(call_class)) +
                         (once ? ", a rule of `once` applies: repeated only after proof of not_run"
                               : ", no rule of `once` applies: at most " +
                                     std::to_string(service.retries.max_attempts) + " attempts"));
  answer.json["path"] = path;
  answer.json["class"] = core::Name(call_class);
}

auto AddWorkspace(const document::Service& service, const std::string& id, Answer& answer) -> void {
  const auto found = std::find_if(service.workspaces.begin(), service.workspaces.end(),
                                  [&](const auto& workspace) { return workspace.id == id; });
  if (found == service.workspaces.end()) {
    AddRefusal(core::Reason::unknown_workspace,
               "service " + service.name + " has no workspace \"" + id + "\"", answer);
    return;
  }
  double weights = 0;
  for (const auto& workspace : service.workspaces) weights += workspace.weight;
  const auto queue_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(service.timeouts.queue).count();
  // Per mille, so that small shares do not show as 0 %.
  const auto share = std::lround(1000 * found->weight / weights);
  answer.lines.push_back("workspace " + id + ": share " + std::to_string(share / 10) + "." +
                         std::to_string(share % 10) + " % if all are backlogged, at most " +
                         std::to_string(found->max_waiting) +
                         " waiting at one entry, for at most " + std::to_string(queue_ms) + " ms");
  answer.json["workspace"] = boost::json::object{{"id", id},
                                                 {"weight", found->weight},
                                                 {"share", found->weight / weights},
                                                 {"max_waiting", found->max_waiting},
                                                 {"queue_timeout_ms", queue_ms}};
}

auto ServesFrom(const document::Service& service, const membership::Vm& vm) -> bool {
  return vm.role == core::Role::endpoint &&
         std::any_of(service.pools.begin(), service.pools.end(),
                     [&](const auto& pool) { return pool.name == vm.pool; });
}

auto AddEndpoints(const document::Service& service, const std::string& file, Answer& answer)
    -> void {
  const auto parsed =
      membership::ParseVmList(schema::ReadFile(file, kMaxVmList, core::Step::read), file);
  for (const auto& problem : parsed.problems) {
    answer.exit = Exit::refused;
    answer.lines.push_back(problem);
    answer.json["problems"].as_array().emplace_back(problem);
  }
  if (!parsed.list) return;
  bool any_live = false;
  boost::json::array endpoints;
  for (const auto& vm : parsed.list->vms) {
    if (!ServesFrom(service, vm)) continue;
    const bool live = vm.state == membership::VmState::live;
    any_live = any_live || live;
    answer.lines.push_back("endpoint " + vm.id + ": pool " + vm.pool + ", region " + vm.region +
                           ", " + std::string(core::Name(vm.state)) +
                           (live ? "" : ", receives no new requests"));
    endpoints.push_back(
        {{"id", vm.id}, {"pool", vm.pool}, {"region", vm.region}, {"state", core::Name(vm.state)}});
  }
  answer.json["endpoints"] = std::move(endpoints);
  if (!any_live) {
    AddRefusal(core::Reason::no_endpoint, "the service has no live endpoint", answer);
  }
}

auto ExplainWith(const std::vector<document::Service>& services, const ExplainOptions& options,
                 Answer& answer) -> void {
  const auto found = FindService(services, options, answer);
  if (found.failure) return;
  const auto service = std::find_if(services.begin(), services.end(), [&](const auto& candidate) {
    return candidate.name == found.service;
  });
  AddWorkspace(*service, options.workspace, answer);
  AddClass(*service, options, found.path, answer);
  for (const auto& pool : service->pools) {
    answer.lines.push_back("pool " + pool.name + ": " + std::to_string(pool.min_slots) + " to " +
                           std::to_string(pool.max_slots) + " slots at each endpoint");
  }
  if (!options.vms.empty()) AddEndpoints(*service, options.vms, answer);
}

}  // namespace

auto Explain(const ExplainOptions& options) -> Answer {
  Answer answer;
  answer.json["problems"] = boost::json::array{};
  try {
    const auto services = ReadDocuments(options.documents, answer);
    if (answer.exit == Exit::done) ExplainWith(services, options, answer);
  } catch (const core::Error& error) {
    answer.exit = Exit::refused;
    answer.lines.emplace_back(error.what());
    answer.json["error"] = ToJson(error);
  }
  answer.json["accepted"] = answer.exit == Exit::done;
  return answer;
}

}  // namespace filbertstair::cli
