// A client sends small bodies to paths of the door that says ready. Are ordinary clients served
// afterwards?

#include <unistd.h>

#include <memory>
#include <sstream>

#include "kit.h"

namespace filbertstair::review {
namespace {

constexpr int kEntries = 3;
constexpr seconds kRunTime{20};
constexpr milliseconds kPause{100};
// Time from the start of the machines to that of the traffic.
constexpr seconds kTrafficAfter{10};
// Paths that a client tries which does not know the door.
const std::vector<std::string> kPaths = {"/",        "/api",     "/api/readyz", "/readyz",
                                         "/healthz", "/health",  "/start",      "/stop",
                                         "/drain",   "/nowhere/"};

struct Deployment {
  Store store;
  std::unique_ptr<Server> replica;
  std::vector<EntrySpec> specs;
  std::vector<std::unique_ptr<Process>> entries;
};

auto Start(Deployment& deployment, const std::filesystem::path& folder) -> void {
  deployment.replica = std::make_unique<Server>([](Connection& connection, const Request& request) {
    connection.Respond(
        200,
        {{"X-Filbertstair-Attempt-Id", FindHeader(request.headers, "X-Filbertstair-Attempt-Id")},
         {"X-Filbertstair-Server-Seal", "seal"}},
        "state of the lot");
  });
  deployment.store.Put("servers/a1",
                       ReplicaJson("cert-app", deployment.replica->Address(), "north-cr", 6));
  deployment.store.Put("op/config",
                       ConfigJson(7, {RouteJson("/lookup/", "idempotent", "cert-app", true)},
                                  {"cert-app"}, {"key-1"}));
  for (int i = 1; i <= kEntries; ++i) {
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

auto Lookup(const Deployment& deployment, int serial) -> int {
  std::ostringstream id;
  id << std::hex << 0x9c41d07b00000000 + serial;
  const Request request{"GET",
                        "/lookup/2f",
                        {{"Host", kHost},
                         {"X-Filbertstair-Attempt-Id", id.str()},
                         {"X-Filbertstair-Deadline-Ms", "2000"}},
                        ""};
  // A client that is not served tries the next entry.
  int status = 0;
  for (int i = 0; i < kEntries && status != 200; ++i) {
    status = Exchange(deployment.specs[(serial + i) % kEntries].front, request, seconds(2)).status;
  }
  return status;
}

// What the client does that does not behave. Without the disruption it only asks whether the
// entries are ready.
auto SendBodies(const Deployment& deployment, const Options& options, Record& record) -> void {
  for (const auto& spec : deployment.specs) {
    for (const auto& path : kPaths) {
      const std::string method = options.trouble ? "POST" : "GET";
      const std::string body = options.trouble ? "{}" : "";
      const auto reply =
          Exchange(spec.readiness, {method, path, {{"Host", kHost}}, body}, seconds(2));
      std::ostringstream line;
      line << spec.id << ", ready address: " << method << ' ' << path << ": status "
           << reply.status;
      record.Add(line.str());
    }
  }
}

auto Run(const Options& options, Record& record, const std::filesystem::path& folder) -> int {
  Deployment deployment;
  Start(deployment, folder);
  // Traffic starts 10 s after the machines do.
  int serial = 0;
  SendBodies(deployment, options, record);
  std::this_thread::sleep_for(kTrafficAfter);
  const auto start = Clock::now();
  int served = 0;
  int failed = 0;
  auto next = start;
  while (Clock::now() < start + kRunTime) {
    const int status = Lookup(deployment, serial++);
    ++(status == 200 ? served : failed);
    if (Clock::now() >= next) {
      next += seconds(2);
      std::ostringstream line;
      line << "ordinary request: status " << status << "; so far " << served << " served, "
           << failed << " not; ready:";
      for (std::size_t i = 0; i < deployment.specs.size(); ++i) {
        const auto& spec = deployment.specs[i];
        const Request question{"GET", "/readyz", {{"Host", spec.readiness}}, ""};
        line << ' ' << Exchange(spec.readiness, question, seconds(1)).status
             << (deployment.entries[i]->IsRunning() ? "" : " (ended)");
      }
      record.Add(line.str());
    }
    std::this_thread::sleep_for(kPause);
  }
  record.Add(std::to_string(served) + " ordinary requests served, " + std::to_string(failed) +
             " not");
  return served == 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace filbertstair::review

auto main(int argc, char** argv) -> int {
  using filbertstair::review::Run;
  const auto options = filbertstair::review::ReadOptions(argc, argv);
  return filbertstair::review::RunCase(
      options, [&](auto& record, const auto& folder) { return Run(options, record, folder); });
}
