// Runs concurrent callers against a fleet of real processes, injects faults from a seeded schedule,
// and checks the histories of all processes against the guarantees of the design page.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <functional>
#include <iostream>
#include <random>
#include <utility>

#include "tests/fleet/checker.h"
#include "tests/fleet/harness.h"
#include "tests/fleet/load.h"

namespace filbertstair::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Random = std::mt19937_64;
using Clock = std::chrono::steady_clock;

constexpr auto kReady = seconds(30);
constexpr auto kStop = seconds(30);
// Time after the last fault within which every entry must answer again.
constexpr auto kRecover = seconds(20);
constexpr int kCallers = 10;

// Certificates keys: an owner answers `unknown` for this time after its start.
constexpr auto kQuiet = seconds(1);

struct Options {
  std::string scenario;
  std::uint64_t seed = 1;
  int seconds = 8;
};

struct Run {
  Options options;
  Random random;
  Fleet fleet;
  Load load;
  Bounds bounds;
  // What went wrong besides violations of the history.
  std::vector<std::string> faults;
};

auto ReportsDocument(std::uint64_t version, const std::string& pools, int weight = 2)
    -> std::string {
  return "name: reports\nversion: " + std::to_string(version) +
         "\nlogical_names: [reports, reports-8b]\nmodels: [reports-8b]\npools:\n" + pools +
         "workspaces:\n  - id: inspectors\n    weight: " + std::to_string(weight) +
         "\n  - id: vendors\n    max_waiting: 20\n  - id: buyers\n"
         "timeouts:\n  request: 8s\n  queue: 5s\n  idle: 5s\n";
}

const std::string kBothPools =
    "  - name: reports\n    max_slots: 4\n  - name: spare\n    max_slots: 4\n";

const std::string kCertificates = R"(name: certificates
version: 1
hosts: [certificates.example]
pools:
  - name: certificates
    max_slots: 4
workspaces:
  - id: inspectors
  - id: vendors
  - id: buyers
once:
  - method: POST
    path: /issue
timeouts:
  request: 8s
  queue: 5s
  idle: 5s
idempotency:
  quiet: 1s
  max_skew: 50ms
)";

// Starts 3 entries, 3 model endpoints and 2 application endpoints in two regions.
auto StartFleet(Run& run, bool relayed = false) -> void {
  auto& fleet = run.fleet;
  fleet.directory = MakeDirectory(run.options.scenario);
  fleet.recorder = std::make_unique<Recorder>((fleet.directory / "callers.jsonl").string());
  const auto add = [&](core::Role role, const std::string& id, const std::string& region,
                       const std::string& pool, ReplicaKind kind) {
    NodeSpec spec;
    spec.role = role;
    spec.id = id;
    spec.region = region;
    spec.failure_domain = region + "-1";
    spec.pool = pool;
    spec.replica = kind;
    spec.relayed = relayed;
    if (kind == ReplicaKind::engine) spec.replica_arguments = {"--model", "reports-8b"};
    AddNode(fleet, spec);
  };
  add(core::Role::entry, "entry-n1", "north", "", ReplicaKind::none);
  add(core::Role::entry, "entry-n2", "north", "", ReplicaKind::none);
  add(core::Role::entry, "entry-s1", "south", "", ReplicaKind::none);
  add(core::Role::endpoint, "model-n1", "north", "reports", ReplicaKind::engine);
  add(core::Role::endpoint, "model-s1", "south", "reports", ReplicaKind::engine);
  add(core::Role::endpoint, "model-s2", "south", "spare", ReplicaKind::engine);
  add(core::Role::endpoint, "app-n1", "north", "certificates", ReplicaKind::app);
  add(core::Role::endpoint, "app-s1", "south", "certificates", ReplicaKind::app);
  PublishDocument(fleet, "reports", ReportsDocument(1, kBothPools));
  PublishDocument(fleet, "certificates", kCertificates);
  PublishVms(fleet);
  StartPlatform(fleet);
  for (const auto& node : fleet.nodes) StartDaemon(fleet, *node);
  WaitDaemons(fleet, kReady);
  // Keys issued before the owners' quiet period are answered `unknown`, which tests nothing.
  std::this_thread::sleep_for(2 * kQuiet);
  run.load.recorder = fleet.recorder.get();
  run.load.seed = run.options.seed;
  for (const auto& node : fleet.nodes) {
    if (node->spec.role != core::Role::entry) continue;
    run.load.targets.push_back(std::make_unique<Target>());
    run.load.targets.back()->address = node->callers;
  }
}

auto Ids(const Fleet& fleet, core::Role role) -> std::vector<std::string> {
  std::vector<std::string> ids;
  for (const auto& node : fleet.nodes) {
    if (node->spec.role == role) ids.push_back(node->spec.id);
  }
  return ids;
}

auto Pick(Run& run, const std::vector<std::string>& ids) -> Node& {
  return FindNode(run.fleet, ids[run.random() % ids.size()]);
}

auto Pause(Run& run, int least_ms, int most_ms) -> void {
  const auto range = static_cast<std::uint64_t>(most_ms - least_ms + 1);
  std::this_thread::sleep_for(milliseconds(least_ms + static_cast<int>(run.random() % range)));
}

auto Note(const std::string& text) -> void { std::cout << "fault: " << text << std::endl; }

auto KillDaemon(Node& node) -> void {
  Note("SIGKILL " + node.spec.id);
  node.daemon->Signal(SIGKILL);
  node.daemon->Wait(seconds(5));
}

auto Restart(Run& run, Node& node) -> void {
  Note("restart " + node.spec.id);
  StartDaemon(run.fleet, node);
}

// Repeats `step` under load until the time of the run is over.
auto Repeat(Run& run, const std::function<void()>& step) -> void {
  const auto end = Clock::now() + seconds(run.options.seconds);
  while (Clock::now() < end) step();
}

// Sends one call of the kind until it is answered.
auto ExpectAnswer(Run& run, const Node& entry, CallKind kind) -> void {
  int serial = 0;
  const bool answered = WaitFor(kRecover, [&] {
    const auto id = "recovery-" + entry.spec.id + "-" + std::string(core::Name(kind)) + "-" +
                    std::to_string(serial++);
    const auto call = MakeCall(kind, entry.callers, id, "inspectors", 0);
    return Invoke(call, "recovery", *run.fleet.recorder).kind == EventKind::answer;
  });
  if (!answered) {
    run.faults.push_back(entry.spec.id + " answers no call of kind " +
                         std::string(core::Name(kind)) + " after the faults ended");
  }
}

// Checks that the fleet serves at every entry after the faults.
auto CheckRecovery(Run& run) -> void {
  WaitDaemons(run.fleet, kReady);
  for (const auto& id : Ids(run.fleet, core::Role::entry)) {
    const auto& entry = FindNode(run.fleet, id);
    if (!entry.daemon) continue;
    ExpectAnswer(run, entry, CallKind::whole);
    ExpectAnswer(run, entry, CallKind::once);
  }
}

auto KillEndpoint(Run& run) -> void {
  StartFleet(run);
  StartLoad(run.load, kCallers);
  Repeat(run, [&] {
    Pause(run, 300, 900);
    auto& node = Pick(run, Ids(run.fleet, core::Role::endpoint));
    KillDaemon(node);
    Pause(run, 0, 600);
    Restart(run, node);
  });
  StopLoad(run.load);
  CheckRecovery(run);
}

// The callers' load balancer stops offering a frozen or killed entry after this time.
constexpr auto kHealthCheck = milliseconds(500);

auto TargetOf(Run& run, const Node& entry) -> Target& {
  for (const auto& target : run.load.targets) {
    if (target->address == entry.callers) return *target;
  }
  throw std::runtime_error("no callers' address of " + entry.spec.id);
}

auto FreezeEntry(Run& run) -> void {
  StartFleet(run);
  StartLoad(run.load, kCallers);
  Repeat(run, [&] {
    Pause(run, 300, 800);
    auto& node = Pick(run, Ids(run.fleet, core::Role::entry));
    Note("SIGSTOP " + node.spec.id);
    node.daemon->Signal(SIGSTOP);
    std::this_thread::sleep_for(kHealthCheck);
    TargetOf(run, node).open = false;
    Pause(run, 1500, 3500);
    Note("SIGCONT " + node.spec.id);
    node.daemon->Signal(SIGCONT);
    TargetOf(run, node).open = true;
  });
  StopLoad(run.load);
  CheckRecovery(run);
}

auto KillEntry(Run& run) -> void {
  StartFleet(run);
  StartLoad(run.load, kCallers);
  Repeat(run, [&] {
    Pause(run, 300, 900);
    auto& node = Pick(run, Ids(run.fleet, core::Role::entry));
    KillDaemon(node);
    std::this_thread::sleep_for(kHealthCheck);
    TargetOf(run, node).open = false;
    Restart(run, node);
    if (!WaitReady(node.admin, kReady)) run.faults.push_back(node.spec.id + " is not ready");
    TargetOf(run, node).open = true;
  });
  StopLoad(run.load);
  CheckRecovery(run);
}

auto FreezeEndpoint(Run& run) -> void {
  StartFleet(run);
  StartLoad(run.load, kCallers);
  Repeat(run, [&] {
    Pause(run, 300, 800);
    auto& node = Pick(run, Ids(run.fleet, core::Role::endpoint));
    Note("SIGSTOP " + node.spec.id);
    node.daemon->Signal(SIGSTOP);
    Pause(run, 1000, 4000);
    Note("SIGCONT " + node.spec.id);
    node.daemon->Signal(SIGCONT);
  });
  StopLoad(run.load);
  CheckRecovery(run);
}

struct Scenario {
  std::string name;
  std::function<void(Run&)> function;
};

auto Scenarios() -> std::vector<Scenario> {
  return {
      {"kill_endpoint", KillEndpoint},
      {"freeze_entry", FreezeEntry},
      {"kill_entry", KillEntry},
      {"freeze_endpoint", FreezeEndpoint},
  };
}

// Reports and returns whether the run was right.
auto Judge(Run& run) -> bool {
  for (const auto& id : StopAll(run.fleet, kStop)) {
    run.faults.push_back(id + " did not stop with code 0");
  }
  const auto events = ReadEvents(run.fleet);
  const auto violations = CheckHistory(events, run.bounds);
  const auto answered = Summarize(run.load)["answer"];
  if (answered == 0) run.faults.push_back("no call was answered");
  for (const auto& [name, count] : Summarize(run.load)) {
    std::cout << "outcome: " << name << ": " << count << '\n';
  }
  std::cout << FormatViolations(violations);
  for (const auto& fault : run.faults) std::cout << "FAILED: " << fault << '\n';
  const bool right = violations.empty() && run.faults.empty();
  std::cout << run.options.scenario << " seed " << run.options.seed << ": " << events.size()
            << " events, " << violations.size() << " violations, " << run.faults.size()
            << " other failures\n";
  return right;
}

auto RunScenario(const Scenario& scenario, const Options& options) -> bool {
  Run run;
  run.options = options;
  run.random.seed(options.seed);
  try {
    scenario.function(run);
  } catch (const std::exception& error) {
    run.faults.emplace_back(error.what());
    if (!run.load.threads.empty()) StopLoad(run.load);
  }
  const bool right = Judge(run);
  if (right) {
    std::filesystem::remove_all(run.fleet.directory);
  } else {
    std::cout << "logs and histories: " << run.fleet.directory.string() << std::endl;
  }
  return right;
}

}  // namespace
}  // namespace filbertstair::fleet

auto main(int argc, char** argv) -> int {
  using namespace filbertstair::fleet;
  Options options;
  CLI::App app("Runs a fleet under faults and checks its histories");
  app.add_option("--scenario", options.scenario, "Name of the scenario")->required();
  app.add_option("--seed", options.seed, "Seed of the schedule and of the callers");
  app.add_option("--seconds", options.seconds, "Time for which faults are injected");
  CLI11_PARSE(app, argc, argv);
  for (const auto& scenario : Scenarios()) {
    if (scenario.name == options.scenario) return RunScenario(scenario, options) ? 0 : 1;
  }
  std::cout << "unknown scenario; known:";
  for (const auto& scenario : Scenarios()) std::cout << ' ' << scenario.name;
  std::cout << std::endl;
  return 1;
}
