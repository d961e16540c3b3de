// Runs a fleet of two entries and three endpoints in three regions on loopback, sends requests
// under all three names of two services and checks each answer.

#include <algorithm>
#include <boost/json.hpp>
#include <iostream>
#include <set>
#include <thread>

#include "tests/fleet/checker.h"
#include "tests/fleet/harness.h"

namespace filbertstair::fleet {
namespace {

using std::chrono::seconds;

constexpr auto kReady = seconds(20);
constexpr auto kStop = seconds(20);

// Quiet period of the certificates document; short, so that the demo need not wait for long. An
// owner that hears of no entry for this time refuses older keys. Entries report once a second, and
// beside load an owner was seen without a report for 1.5 s.
constexpr auto kQuiet = seconds(3);

// Time beyond the quiet period that allows for `max_skew`.
constexpr auto kMargin = seconds(1);

// Characters of an answer that are printed.
constexpr std::size_t kShown = 40;
constexpr std::size_t kEndpoints = 3;

const std::string kReports = R"(name: reports
version: 1
hosts: [reports.example]
paths: [/reports]
logical_names: [reports, reports-8b]
models: [reports-8b]
pools:
  - name: reports
    min_slots: 1
    max_slots: 2
workspaces:
  - id: inspectors
    weight: 2
  - id: vendors
)";

const std::string kCertificates = R"(name: certificates
version: 1
hosts: [certificates.example]
paths: [/certificates]
logical_names: [certificates]
pools:
  - name: certificates
    max_slots: 4
workspaces:
  - id: inspectors
  - id: vendors
once:
  - method: POST
    path: /issue
idempotency:
  quiet: 3s
  max_skew: 50ms
)";

// One request of the demo and what its answer must be.
struct Step {
  std::string title;
  Call call;
  // Endpoints that may answer.
  std::set<std::string> endpoints;
  bool streamed = false;
  // Path that the application must have seen; empty for a model.
  std::string path;
};

struct Result {
  Event event;
  Reply reply;
  Answer answer;
  // What is wrong with the answer; empty if nothing is.
  std::string fault;
};

auto ModelStep(const std::string& title, bool streamed) -> Step {
  Step step;
  step.title = title;
  step.streamed = streamed;
  step.endpoints = {"model-north", "model-south"};
  step.call.method = "POST";
  step.call.target = "/v1/chat/completions";
  step.call.service = "reports";
  step.call.headers["X-Test-Tokens"] = "40";
  step.call.body = std::string(R"({"model":"reports-8b","prompt":"report","max_tokens":64,)") +
                   R"("stream":)" + (streamed ? "true}" : "false}");
  return step;
}

auto ApplicationStep(const std::string& title, const std::string& path) -> Step {
  Step step;
  step.title = title;
  step.path = path;
  step.endpoints = {"certificates-west"};
  step.call.target = path;
  step.call.service = "certificates";
  return step;
}

// The requests that may be repeated, for one entry.
auto MakeSteps() -> std::vector<Step> {
  std::vector<Step> steps;
  steps.push_back(ModelStep("model by host", false));
  steps.back().call.host = "reports.example";
  steps.push_back(ModelStep("model by path, streamed", true));
  steps.back().call.target = "/reports/v1/chat/completions";
  steps.push_back(ModelStep("model by logical name", false));
  steps.back().call.headers["X-Service"] = "reports";
  steps.push_back(ModelStep("model by body field, streamed", true));
  steps.push_back(ApplicationStep("application by host", "/lookup/7"));
  steps.back().call.host = "certificates.example";
  steps.push_back(ApplicationStep("application by path", "/lookup/8"));
  steps.back().call.target = "/certificates/lookup/8";
  steps.push_back(ApplicationStep("application by logical name", "/lookup/9"));
  steps.back().call.headers["X-Service"] = "certificates";
  return steps;
}

auto OnceStep() -> Step {
  auto step = ApplicationStep("application, not repeatable", "/issue");
  step.call.host = "certificates.example";
  step.call.method = "POST";
  step.call.body = R"({"certificate":17})";
  step.call.call_class = core::CallClass::once;
  step.call.key = MakeKey(17);
  return step;
}

auto FindFault(const Step& step, const Result& result) -> std::string {
  const auto& event = result.event;
  const auto& answer = result.answer;
  if (event.kind != EventKind::answer || event.status != 200) {
    return std::string(core::Name(event.kind)) + " " + std::to_string(event.status) + " " +
           event.reason + " " + result.reply.body;
  }
  if (event.outcome != core::Outcome::ran) return "X-Outcome is not ran";
  if (result.reply.Header("x-request-id").empty()) return "no X-Request-Id";
  if (!step.endpoints.contains(event.endpoint)) return "X-Endpoint is \"" + event.endpoint + "\"";
  const bool streamed = result.reply.Header("content-type").starts_with("text/event-stream");
  if (streamed != step.streamed) return streamed ? "streamed" : "not streamed";
  if (answer.echo != step.call.id) return "answer to request \"" + answer.echo + "\"";
  if (!answer.complete || answer.announced != answer.received || answer.text.empty()) {
    return "stated " + answer.announced + ", received " + answer.received;
  }
  const auto seen = R"("path":")" + step.path + "\"";
  if (!step.path.empty() && result.reply.body.find(seen) == std::string::npos) {
    return "the application did not see " + step.path;
  }
  return "";
}

auto RunStep(const Step& step, Recorder& recorder) -> Result {
  Result result;
  result.event = Invoke(step.call, "demo", recorder, &result.reply);
  result.answer = ReadAnswer(result.reply);
  result.fault = FindFault(step, result);
  return result;
}

auto StartFleet(Fleet& fleet) -> void {
  fleet.directory = MakeDirectory("demo");
  fleet.recorder = std::make_unique<Recorder>((fleet.directory / "callers.jsonl").string());
  const auto add = [&](core::Role role, const std::string& id, const std::string& region,
                       const std::string& pool, ReplicaKind kind,
                       const std::vector<std::string>& arguments) {
    NodeSpec spec;
    spec.role = role;
    spec.id = id;
    spec.region = region;
    spec.failure_domain = region + "-1";
    spec.pool = pool;
    spec.replica = kind;
    spec.replica_arguments = arguments;
    AddNode(fleet, spec);
  };
  const std::vector<std::string> engine{"--token-ms", "2", "--model", "reports-8b"};
  add(core::Role::entry, "entry-north", "north", "", ReplicaKind::none, {});
  add(core::Role::entry, "entry-south", "south", "", ReplicaKind::none, {});
  add(core::Role::endpoint, "model-north", "north", "reports", ReplicaKind::engine, engine);
  add(core::Role::endpoint, "model-south", "south", "reports", ReplicaKind::engine, engine);
  add(core::Role::endpoint, "certificates-west", "west", "certificates", ReplicaKind::app, {});
  PublishDocument(fleet, "reports", kReports);
  PublishDocument(fleet, "certificates", kCertificates);
  PublishVms(fleet);
  StartPlatform(fleet);
  for (const auto& node : fleet.nodes) StartDaemon(fleet, *node);
  WaitDaemons(fleet, kReady);
}

// Sends the steps at the same time, so that the model requests need both replicas.
auto RunSteps(const std::vector<Step>& steps, Recorder& recorder) -> std::vector<Result> {
  std::vector<Result> results(steps.size());
  std::vector<std::thread> threads;
  threads.reserve(steps.size());
  for (std::size_t i = 0; i < steps.size(); ++i) {
    threads.emplace_back([&, i] { results[i] = RunStep(steps[i], recorder); });
  }
  for (auto& thread : threads) thread.join();
  return results;
}

auto Print(const Step& step, const Result& result) -> void {
  std::cout << step.call.id << "  " << step.title << ": ";
  if (!result.fault.empty()) {
    std::cout << "FAULT: " << result.fault << '\n';
    return;
  }
  const auto& text = result.answer.text;
  std::cout << '"' << text.substr(0, kShown) << (text.size() > kShown ? "..." : "") << "\" ("
            << text.size() << " bytes) from " << result.event.endpoint << '\n';
}

auto Run(Fleet& fleet) -> bool {
  StartFleet(fleet);
  const auto started = std::chrono::steady_clock::now();
  std::vector<Step> steps;
  for (const auto* entry : {"entry-north", "entry-south"}) {
    for (auto step : MakeSteps()) {
      step.call.address = FindNode(fleet, entry).callers;
      step.call.id = std::string(entry) + "-" + std::to_string(steps.size());
      step.call.workspace = steps.size() % 2 == 0 ? "inspectors" : "vendors";
      steps.push_back(std::move(step));
    }
  }
  auto results = RunSteps(steps, *fleet.recorder);

  // A key that was issued within the quiet period after its owner's start is answered `unknown`.
  std::this_thread::sleep_until(started + kQuiet + kMargin);
  auto once = OnceStep();
  once.call.address = FindNode(fleet, "entry-north").callers;
  once.call.id = "entry-north-once";
  once.call.workspace = "inspectors";
  results.push_back(RunStep(once, *fleet.recorder));
  steps.push_back(std::move(once));

  std::set<std::string> endpoints;
  std::size_t whole = 0;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    Print(steps[i], results[i]);
    if (!results[i].fault.empty()) continue;
    ++whole;
    endpoints.insert(results[i].event.endpoint);
  }
  const auto failed = StopAll(fleet, kStop);
  for (const auto& id : failed) std::cout << "FAULT: " << id << " did not stop with code 0\n";
  const auto violations = CheckHistory(ReadEvents(fleet), {});
  std::cout << FormatViolations(violations);
  const bool right = whole == steps.size() && endpoints.size() == kEndpoints && failed.empty() &&
                     violations.empty();
  if (!right) std::cout << "logs and histories: " << fleet.directory.string() << '\n';
  std::cout << "demo: " << steps.size() << " requests, " << whole << " whole answers, "
            << endpoints.size() << " endpoints\n";
  return right;
}

}  // namespace
}  // namespace filbertstair::fleet

auto main() -> int {
  filbertstair::fleet::Fleet fleet;
  try {
    const bool right = filbertstair::fleet::Run(fleet);
    if (right) std::filesystem::remove_all(fleet.directory);
    return right ? 0 : 1;
  } catch (const std::exception& error) {
    std::cout << "demo: failed: " << error.what() << "\nlogs: " << fleet.directory.string()
              << std::endl;
    return 1;
  }
}
