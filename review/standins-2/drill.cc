// A drill of the platform's store, in which it comes back from a copy some seconds old, and the
// planned restart of one entry meanwhile. Does a key that was taken away before get work done
// again?

#include <csignal>
#include <memory>
#include <sstream>

#include "kit.h"

namespace filbertstair::review {
namespace {

// Bound `revoke-timeout-ms` of the small deployment.
constexpr milliseconds kRevokeTimeout{5000};
// From the ack of the change to the drill: the copy is a little older than this at its return.
constexpr milliseconds kDrillAfter{5200};
// From the ack of the change to the SIGTERM of the planned restart. An idle entry ends some 2.6 s
// later.
constexpr milliseconds kStopAfter{2700};
// Time for which the store is away, and from its return until the operator has written again.
constexpr milliseconds kAway{500};
constexpr milliseconds kRewriteAfter{2000};
constexpr milliseconds kPause{100};

struct Deployment {
  Store store;
  std::unique_ptr<Server> replica;
  std::vector<EntrySpec> specs;
  std::vector<std::unique_ptr<Process>> entries;
  std::mutex mutex;
  std::set<std::string> runs;
  int last_id = 0;
};

auto Config(int version, const std::vector<std::string>& keys) -> std::string {
  return ConfigJson(version, {RouteJson("/stamp/", "non_idempotent", "cert-app", false)},
                    {"cert-app"}, keys);
}

auto Start(Deployment& deployment, const std::filesystem::path& folder) -> void {
  deployment.replica =
      std::make_unique<Server>([&](Connection& connection, const Request& request) {
        const auto id = FindHeader(request.headers, "X-Filbertstair-Attempt-Id");
        {
          const std::lock_guard lock(deployment.mutex);
          deployment.runs.insert(id);
        }
        connection.Respond(
            200, {{"X-Filbertstair-Attempt-Id", id}, {"X-Filbertstair-Server-Seal", "seal"}},
            "stamped");
      });
  deployment.store.Put("servers/a1",
                       ReplicaJson("cert-app", deployment.replica->Address(), "north-cr", 6));
  deployment.store.Put("op/config", Config(7, {"key-1", "key-2"}));
  for (int i = 1; i <= 2; ++i) {
    deployment.specs.push_back({.id = "edge-" + std::to_string(i),
                                .store = deployment.store.Address(),
                                .front = FreeAddress(),
                                .peers = FreeAddress(),
                                .readiness = FreeAddress(),
                                .seeds = {}});
  }
  for (auto& spec : deployment.specs) {
    for (const auto& other : deployment.specs) spec.seeds.push_back(other.peers);
    deployment.entries.push_back(StartEntry(spec, folder));
  }
  for (const auto& spec : deployment.specs) {
    if (!AwaitReady(spec.readiness, seconds(20))) throw std::runtime_error("no entry is ready");
  }
}

struct Outcome {
  int status = 0;
  bool ran = false;
};

auto Stamp(Deployment& deployment, Record& record, std::size_t entry, const std::string& key)
    -> Outcome {
  std::ostringstream id;
  id << std::hex << 0x9c41d07b00000000 + ++deployment.last_id;
  const auto& spec = deployment.specs[entry];
  const auto reply = Exchange(spec.front,
                              {"POST",
                               "/stamp/2f",
                               {{"Host", kHost},
                                {"X-Filbertstair-Attempt-Id", id.str()},
                                {"X-Filbertstair-Deadline-Ms", "2000"},
                                {"Authorization", "Bearer " + key}},
                               "lot"},
                              seconds(2));
  const std::lock_guard lock(deployment.mutex);
  const bool ran = deployment.runs.contains(id.str());
  record.Add(spec.id + ", " + key + ", request " + id.str() + ": status " +
             std::to_string(reply.status) + (ran ? ", has run" : ", has not run"));
  return {reply.status, ran};
}

auto Run(const Options& options, Record& record, const std::filesystem::path& folder) -> int {
  Deployment deployment;
  Start(deployment, folder);
  // An entry that has just started may refuse the first requests.
  const auto latest = Clock::now() + seconds(5);
  while (!Stamp(deployment, record, 1, "key-2").ran) {
    if (Clock::now() > latest) return kNotRun;
    std::this_thread::sleep_for(kPause);
  }
  deployment.store.Copy();
  deployment.store.Put("op/config", Config(9, {"key-1"}));
  const auto ack = Clock::now();
  record.Add("the store has acknowledged version 9, which takes key-2 away");
  std::this_thread::sleep_until(ack + kStopAfter);
  for (std::size_t entry : {0, 1}) {
    if (Stamp(deployment, record, entry, "key-2").ran) return kNotRun;
  }
  deployment.entries[1]->Signal(SIGTERM);
  record.Add("planned restart: edge-2 gets SIGTERM");
  std::this_thread::sleep_until(ack + kDrillAfter);
  if (options.trouble) {
    deployment.store.SetAway(true);
    record.Add("drill: the store is away");
  }
  std::this_thread::sleep_for(kAway);
  const auto latest_end = Clock::now() + seconds(3);
  while (deployment.entries[1]->IsRunning()) {
    if (Clock::now() > latest_end) return kNotRun;
    std::this_thread::sleep_for(milliseconds(5));
  }
  if (options.trouble) {
    deployment.store.Restore();
    deployment.store.SetAway(false);
    record.Add("drill: the store is back from a copy that was taken before version 9");
  }
  const auto back = Clock::now();
  deployment.entries[1] = StartEntry(deployment.specs[1], folder);
  record.Add("edge-2 is started again");
  bool rewritten = false;
  bool broken = false;
  while (Clock::now() < back + kRewriteAfter + seconds(3)) {
    if (!rewritten && Clock::now() >= back + kRewriteAfter) {
      if (options.trouble) deployment.store.Put("op/config", Config(9, {"key-1"}));
      record.Add("the operator has written version 9 again");
      rewritten = true;
    }
    const bool late = Clock::now() > ack + kRevokeTimeout;
    for (std::size_t entry : {0, 1}) {
      broken |= Stamp(deployment, record, entry, "key-2").ran && late;
    }
    std::this_thread::sleep_for(kPause);
  }
  if (Stamp(deployment, record, 1, "key-1").status != 200) return kNotRun;
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace filbertstair::review

auto main(int argc, char** argv) -> int {
  using filbertstair::review::Run;
  const auto options = filbertstair::review::ReadOptions(argc, argv);
  return filbertstair::review::RunCase(
      options, [&](auto& record, const auto& folder) { return Run(options, record, folder); });
}
