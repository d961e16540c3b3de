// Runs concurrent callers against a fleet of real processes, injects faults from a seeded schedule,
// and checks the histories of all processes against the guarantees of the design page.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <random>
#include <set>
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
  // Node that the last fault hit.
  std::string last;
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

// Picks a node at random, but not the same one twice in a row.
auto Pick(Run& run, std::vector<std::string> ids) -> Node& {
  std::erase(ids, run.last);
  run.last = ids[run.random() % ids.size()];
  return FindNode(run.fleet, run.last);
}

auto Pause(Run& run, int least_ms, int most_ms) -> void {
  std::uniform_int_distribution<int> pause(least_ms, most_ms);
  std::this_thread::sleep_for(milliseconds(pause(run.random)));
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

// Checks that the fleet serves at every entry that runs.
auto CheckService(Run& run) -> void {
  for (const auto& id : Ids(run.fleet, core::Role::entry)) {
    const auto& entry = FindNode(run.fleet, id);
    if (!entry.daemon) continue;
    ExpectAnswer(run, entry, CallKind::whole);
    ExpectAnswer(run, entry, CallKind::once);
  }
}

// Checks that the fleet has recovered from the faults.
auto CheckRecovery(Run& run) -> void {
  WaitDaemons(run.fleet, kReady);
  CheckService(run);
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

// Sends calls with the key at `entries` at the same time and returns their outcomes.
auto SendKey(Run& run, const std::string& id, const std::string& key,
             const std::vector<std::string>& entries) -> std::vector<Event> {
  std::vector<Event> outcomes(entries.size());
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    threads.emplace_back([&, i] {
      auto call = MakeCall(CallKind::keyed, FindNode(run.fleet, entries[i]).callers,
                           id + "-" + entries[i], "vendors", 95);
      call.key = key;
      outcomes[i] = Invoke(call, "repeater", *run.fleet.recorder);
    });
  }
  for (auto& thread : threads) thread.join();
  return outcomes;
}

// One key: at two entries at the same time, then after its owner was killed, while its owner
// starts, and once the owner's quiet period is over. In every second round the owner leaves the VM
// list instead, so that the key falls to another endpoint, and comes back.
auto RepeatOneKey(Run& run, int round) -> void {
  const auto name = "key-" + std::to_string(round);
  const auto key = MakeKey(std::uint64_t{1} << 40 | static_cast<std::uint64_t>(round));
  const auto first = SendKey(run, name + "-first", key, {"entry-n1", "entry-s1"});
  std::string owner;
  for (const auto& event : first) {
    if (event.kind == EventKind::answer) owner = event.endpoint;
  }
  // A key that was issued within the quiet period of its owner is not answered.
  if (owner.empty()) owner = round % 4 < 2 ? "app-n1" : "app-s1";
  auto& node = FindNode(run.fleet, owner);
  const bool kill = round % 2 == 0;
  // A second key is under way while its owner dies.
  std::thread under_way([&] {
    const auto other = MakeKey(std::uint64_t{2} << 40 | static_cast<std::uint64_t>(round));
    SendKey(run, name + "-under-way", other, {"entry-n2", "entry-s1"});
    SendKey(run, name + "-under-way-again", other, {"entry-n1", "entry-n2"});
  });
  Pause(run, 0, 120);
  if (kill) {
    KillDaemon(node);
  } else {
    Note("unlist " + owner);
    node.listed = false;
    PublishVms(run.fleet);
  }
  SendKey(run, name + "-gone", key, {"entry-n2", "entry-s1"});
  if (kill) Restart(run, node);
  if (!WaitReady(node.admin, kReady)) run.faults.push_back(owner + " is not ready");
  SendKey(run, name + "-started", key, {"entry-n1", "entry-s1"});
  std::this_thread::sleep_for(2 * kQuiet);
  SendKey(run, name + "-quiet", key, {"entry-n1", "entry-n2"});
  if (!kill) {
    Note("list " + owner);
    node.listed = true;
    PublishVms(run.fleet);
    SendKey(run, name + "-listed", key, {"entry-n1", "entry-s1"});
  }
  under_way.join();
}

auto RepeatKey(Run& run) -> void {
  StartFleet(run);
  StartLoad(run.load, kCallers / 2);
  int round = 0;
  Repeat(run, [&] { RepeatOneKey(run, round++); });
  StopLoad(run.load);
  CheckRecovery(run);
}

// Sets the state of the links between two nodes in both directions.
auto SetLinks(Run& run, const std::string& a, const std::string& b, LinkState state) -> void {
  Note("link " + a + " " + b + " " + std::string(core::Name(state.mode)) + " " +
       std::to_string(state.delay.count()) + " ms");
  FindNode(run.fleet, a).relay->SetLink(b, state);
  FindNode(run.fleet, b).relay->SetLink(a, state);
}

auto Partition(Run& run) -> void {
  StartFleet(run, true);
  StartLoad(run.load, kCallers);
  const auto entries = Ids(run.fleet, core::Role::entry);
  const auto endpoints = Ids(run.fleet, core::Role::endpoint);
  const auto links = [&] {
    std::vector<std::pair<std::string, std::string>> all;
    for (const auto& entry : entries) {
      for (const auto& endpoint : endpoints) all.emplace_back(entry, endpoint);
      for (const auto& other : entries) {
        if (entry < other) all.emplace_back(entry, other);
      }
    }
    return all;
  }();
  Repeat(run, [&] {
    std::vector<std::pair<std::string, std::string>> hit;
    for (int i = 0; i < 5; ++i) {
      hit.push_back(links[run.random() % links.size()]);
      const auto mode = core::kNames<LinkMode>[run.random() % 3].first;
      const auto delay = milliseconds(run.random() % 3 * 100);
      SetLinks(run, hit.back().first, hit.back().second, {.mode = mode, .delay = delay});
    }
    Pause(run, 500, 2500);
    for (const auto& [a, b] : hit) SetLinks(run, a, b, {});
    Pause(run, 200, 800);
  });
  StopLoad(run.load);
  CheckRecovery(run);
}

// Stops a daemon; the VM list says so a little later, as it lags.
auto ExpectStop(Run& run, Node& node) -> void {
  Note("SIGTERM " + node.spec.id);
  node.daemon->Signal(SIGTERM);
  Pause(run, 300, 600);
  MarkLeaving(run.fleet, node);
  if (node.daemon->Wait(kStop) != 0) run.faults.push_back(node.spec.id + " did not stop");
  node.daemon.reset();
}

// Longer than the bound of G6, so that a late start is seen.
constexpr auto kAfterSign = milliseconds(4500);

// Every call must have been answered by its service. A key may be refused as repeated, or
// because its owner is another one after the endpoints have changed.
auto ExpectNoFailure(Run& run) -> void {
  for (const auto& event : run.load.outcomes) {
    if (event.kind == EventKind::answer && event.status == 200) continue;
    if (event.kind == EventKind::refuse && event.reason.starts_with("key_")) continue;
    run.faults.push_back("call failed: " + FormatEvent(event));
  }
}

auto Drain(Run& run) -> void {
  StartFleet(run);
  StartLoad(run.load, kCallers);
  Pause(run, 500, 1000);
  Note("app-s1 and entry-n2 stop");
  auto& entry = FindNode(run.fleet, "entry-n2");
  TargetOf(run, entry).open = false;
  std::this_thread::sleep_for(kHealthCheck);
  ExpectStop(run, entry);
  ExpectStop(run, FindNode(run.fleet, "app-s1"));
  Pause(run, 200, 500);
  Note("the VM list says that model-s1 is leaving");
  MarkLeaving(run.fleet, FindNode(run.fleet, "model-s1"));
  Pause(run, 200, 500);
  Note("the document drops the pool of model-s2");
  Event sign;
  sign.kind = EventKind::leaving;
  sign.source = "model-s2";
  run.fleet.recorder->Record(sign);
  PublishDocument(run.fleet, "reports",
                  ReportsDocument(2, "  - name: reports\n    max_slots: 4\n"));
  std::this_thread::sleep_for(kAfterSign);
  StopLoad(run.load);
  ExpectNoFailure(run);
  // Endpoints that leave are not ready.
  CheckService(run);
}

// Name of the reports document among the published objects.
constexpr auto kReportsObject = "documents/reports.yaml";

// Versions of the reports document that each daemon has had in force since its last start, in
// order, with their times.
auto VersionsInForce(const Run& run) -> std::map<std::string, std::vector<Event>> {
  std::map<std::string, std::vector<Event>> rows;
  for (auto& event : ReadEvents(run.fleet)) {
    if (event.kind == EventKind::started) rows[event.source].clear();
    if (event.kind != EventKind::config || event.object != kReportsObject) continue;
    rows[event.source].push_back(std::move(event));
  }
  return rows;
}

// The "hash" of the reports document that a daemon has in force.
auto HashInForce(const Node& node) -> std::string {
  Call call;
  call.address = node.admin;
  call.target = "/status";
  boost::system::error_code error;
  const auto status = boost::json::parse(Send(call).body, error);
  if (error) return "";
  for (const auto& object : status.at("objects").as_array()) {
    if (object.at("name") == kReportsObject) return object.at("hash").as_string().c_str();
  }
  return "";
}

// Time that a daemon's log thread may need to write a line on a busy machine.
constexpr auto kLogTime = seconds(5);

// Restarts a daemon with empty memory. It must not fall behind the version that all others have.
auto RestartCurrent(Run& run) -> void {
  std::vector<std::string> ids = Ids(run.fleet, core::Role::entry);
  for (const auto& id : Ids(run.fleet, core::Role::endpoint)) ids.push_back(id);
  auto& node = Pick(run, ids);
  const bool entry = node.spec.role == core::Role::entry;
  if (entry) TargetOf(run, node).open = false;
  KillDaemon(node);
  std::uint64_t least = ~std::uint64_t{0};
  for (const auto& [id, events] : VersionsInForce(run)) {
    if (id == node.spec.id || events.empty()) continue;
    least = std::min(least, events.back().version);
  }
  Restart(run, node);
  if (!WaitReady(node.admin, kReady)) run.faults.push_back(node.spec.id + " is not ready");
  if (entry) TargetOf(run, node).open = true;
  // The daemon tells at once what it has in force; its log says so later, as a thread of its own
  // writes it.
  if (HashInForce(node).empty()) {
    run.faults.push_back(node.spec.id + " is ready without a document");
    return;
  }
  std::map<std::string, std::vector<Event>> rows;
  const bool logged = WaitFor(kLogTime, [&] {
    rows = VersionsInForce(run);
    return !rows[node.spec.id].empty();
  });
  const auto found = rows.find(node.spec.id);
  if (!logged) {
    run.faults.push_back(node.spec.id + " did not log its document");
  } else if (found->second.front().version < least) {
    run.faults.push_back(node.spec.id + " restarted with version " +
                         std::to_string(found->second.front().version) + ", all others had " +
                         std::to_string(least));
  }
}

// Bound of G8 in microseconds.
constexpr std::int64_t kInForceUs = 5'000'000;

// Nodes in which the version did not come into force within the bound of its publication.
auto LateNodes(const Run& run, std::uint64_t version) -> std::vector<std::string> {
  const auto rows = VersionsInForce(run);
  std::int64_t at = 0;
  for (const auto& row : rows.at("operator")) {
    if (row.version == version) at = row.at;
  }
  std::vector<std::string> ids;
  for (const auto& node : run.fleet.nodes) {
    const auto found = rows.find(node->spec.id);
    const bool in_time = found != rows.end() &&
                         std::any_of(found->second.begin(), found->second.end(), [&](auto& row) {
                           return row.version >= version && row.at - at <= kInForceUs;
                         });
    if (!in_time) ids.push_back(node->spec.id);
  }
  return ids;
}

auto RecordPublished(Run& run, std::uint64_t version) -> void {
  Event published;
  published.kind = EventKind::config;
  published.source = "operator";
  published.object = kReportsObject;
  published.version = version;
  run.fleet.recorder->Record(published);
}

// Publishes a version and checks that it is in force in all processes within the bound of G8.
auto ExpectInForce(Run& run, std::uint64_t version) -> void {
  RecordPublished(run, version);
  PublishDocument(run.fleet, "reports", ReportsDocument(version, kBothPools));
  WaitFor(milliseconds(kInForceUs / 1000), [&] { return LateNodes(run, version).empty(); });
  for (const auto& id : LateNodes(run, version)) {
    run.faults.push_back("version " + std::to_string(version) + " not in force in time in " + id);
  }
}

// Publishes two contents with one version at once; all processes must agree on one of them.
auto ExpectAgreement(Run& run, std::uint64_t version) -> void {
  RecordPublished(run, version);
  for (const int weight : {3, 4}) {
    PublishDocument(run.fleet, "reports", ReportsDocument(version, kBothPools, weight));
  }
  std::set<std::string> hashes;
  const bool agreed = WaitFor(seconds(5), [&] {
    hashes.clear();
    for (const auto& node : run.fleet.nodes) hashes.insert(HashInForce(*node));
    return hashes.size() == 1 && !hashes.contains("") && LateNodes(run, version).empty();
  });
  if (!agreed) run.faults.push_back(std::to_string(hashes.size()) + " contents of one version");
}

auto Config(Run& run) -> void {
  StartFleet(run);
  // Cold entries ask each other first.
  std::string seeds;
  for (const auto& id : Ids(run.fleet, core::Role::entry)) {
    seeds += (seeds.empty() ? "" : ", ") + FindNode(run.fleet, id).published;
  }
  for (const auto& node : run.fleet.nodes) node->spec.settings = "seeds: [" + seeds + "]\n";
  StartLoad(run.load, kCallers / 2);
  std::atomic<bool> stop{false};
  std::thread operators([&, random = Random(run.options.seed + 1)]() mutable {
    for (std::uint64_t step = 2; !stop; ++step) {
      // Near the newest version: often below it, often the same with another content.
      const auto version = std::max<std::uint64_t>(1, step - random() % 5);
      const bool valid = random() % 4 != 0;
      PublishDocument(run.fleet, "reports",
                      ReportsDocument(valid ? version : version + 10, valid ? kBothPools : " []\n",
                                      1 + static_cast<int>(random() % 9)));
      std::this_thread::sleep_for(milliseconds(random() % 150));
    }
  });
  try {
    Repeat(run, [&] {
      const std::string fault = run.random() % 2 == 0 ? "/down" : "/stale";
      Note("platform " + fault);
      ControlPlatform(run.fleet, fault + "?on=1");
      Pause(run, 300, 800);
      RestartCurrent(run);
      ControlPlatform(run.fleet, fault + "?on=0");
      Pause(run, 200, 800);
    });
  } catch (...) {
    stop = true;
    operators.join();
    throw;
  }
  stop = true;
  operators.join();
  ExpectInForce(run, 1000);
  ExpectInForce(run, 1001);
  ExpectAgreement(run, 1002);
  StopLoad(run.load);
  CheckRecovery(run);
}

// Callers of the workspace that floods.
constexpr int kFloodCallers = 100;

auto Flood(Run& run) -> void {
  StartFleet(run);
  // G2: no request waits longer than the queue timeout of the documents without progress.
  run.bounds.starvation = 5'000'000;
  std::atomic<bool> stop{false};
  std::atomic<int> refused{0};
  std::atomic<int> served{0};
  std::mutex mutex;
  const auto fault = [&](const std::string& text) {
    const std::lock_guard lock(mutex);
    run.faults.push_back(text);
  };
  std::vector<std::thread> threads;
  threads.reserve(kFloodCallers + 3);
  for (int i = 0; i < kFloodCallers; ++i) {
    threads.emplace_back([&, i] {
      for (int serial = 0; !stop; ++serial) {
        auto call =
            MakeCall(i % 2 == 0 ? CallKind::whole : CallKind::streamed,
                     FindNode(run.fleet, i % 10 == 0 ? "entry-s1" : "entry-n1").callers,
                     "flood-" + std::to_string(i) + "-" + std::to_string(serial), "vendors", 0);
        call.headers["X-Test-Tokens"] = "150";
        Reply reply;
        const auto event = Invoke(call, "flood", *run.fleet.recorder, &reply);
        if (event.kind != EventKind::refuse) continue;
        if (event.reason == "queue_full") {
          ++refused;
          const bool proved = event.outcome == core::Outcome::not_run;
          if (!proved || reply.Header("retry-after").empty()) fault(FormatEvent(event));
        }
        std::this_thread::sleep_for(milliseconds(200));
      }
    });
  }
  for (const auto* entry : {"entry-n1", "entry-n2", "entry-s1"}) {
    threads.emplace_back([&, entry] {
      for (int serial = 0; !stop; ++serial) {
        const auto id = std::string("small-") + entry + "-" + std::to_string(serial);
        const auto call = MakeCall(CallKind::whole, FindNode(run.fleet, entry).callers, id,
                                   "buyers", static_cast<std::uint64_t>(serial));
        const auto event = Invoke(call, "small", *run.fleet.recorder);
        if (event.kind == EventKind::answer) {
          ++served;
        } else {
          fault("call of the small workspace failed: " + FormatEvent(event));
        }
      }
    });
  }
  std::this_thread::sleep_for(seconds(run.options.seconds));
  stop = true;
  for (auto& thread : threads) thread.join();
  std::cout << "flood: " << refused << " queue_full, small workspace: " << served << " answers\n";
  if (refused == 0) fault("the flood met no queue_full");
  if (served == 0) fault("the small workspace was not served");
  CheckRecovery(run);
}

// Guards against an answer that goes on after the timeout of its service because the replica never
// ends it.
auto EndlessAnswer(Run& run) -> void {
  StartFleet(run);
  // Timeout of requests in the document, and the time in which a caller must learn of it.
  constexpr milliseconds timeout{8000};
  constexpr milliseconds grace{500};
  auto call =
      MakeCall(CallKind::once, FindNode(run.fleet, "entry-n1").callers, "endless", "inspectors", 0);
  call.headers["X-Test-Endless"] = "1";
  call.timeout = timeout + 4 * grace;
  Reply reply;
  const auto begin = std::chrono::steady_clock::now();
  Invoke(call, "endless", *run.fleet.recorder, &reply);
  const auto took = std::chrono::steady_clock::now() - begin;
  if (took > timeout + grace) run.faults.emplace_back("an answer without end was not cut");
  if (reply.complete) run.faults.emplace_back("an answer without end looks complete");
  CheckService(run);
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
      {"repeat_key", RepeatKey},
      {"partition", Partition},
      {"drain", Drain},
      {"config", Config},
      {"flood", Flood},
      {"endless_answer", EndlessAnswer},
  };
}

// Reports and returns whether the run was right.
auto Judge(Run& run) -> bool {
  for (const auto& node : run.fleet.nodes) {
    const auto code = node->daemon ? node->daemon->Wait(milliseconds(0)) : std::nullopt;
    if (code) run.faults.push_back(node->spec.id + " ended with code " + std::to_string(*code));
  }
  for (const auto& id : StopAll(run.fleet, kStop)) {
    run.faults.push_back(id + " did not stop with code 0");
  }
  const auto events = ReadEvents(run.fleet);
  const auto violations = CheckHistory(events, run.bounds);
  if (!run.load.outcomes.empty() && Summarize(run.load)["answer"] == 0) {
    run.faults.emplace_back("no call was answered");
  }
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
