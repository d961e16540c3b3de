// Clients whose requests are legal in size, but whose prompts have thousands of short parts. Does
// each entry stay within the memory of its machine, or are the requests lost that it has passed on?

#include <unistd.h>

#include <algorithm>
#include <memory>
#include <sstream>

#include "kit.h"

namespace filbertstair::review {
namespace {

constexpr int kEntries = 2;
constexpr int kModels = 12;
constexpr int kClients = 8;
// Callers of the application at each entry, and the work of a request.
constexpr int kCallers = 10;
constexpr int kApps = 2;
constexpr milliseconds kWork{300};
// Lost requests that the rule allows a machine.
constexpr int kAllowedLost = 3;
// Bound `contact-ms`, after which the entries are in touch.
constexpr milliseconds kContact{4000};
// Memory of an `edge` machine of the small deployment.
constexpr int kMemoryMb = 260;
constexpr std::size_t kMaxHeaderBytes = 16384;
constexpr seconds kRunTime{60};
constexpr int kMaxRequests = 6000;
const std::vector<std::string> kZones = {"north-cr", "central-ay", "south-sk"};

struct Deployment {
  // Outlives the replicas, which record their runs there.
  KeptCallers callers;
  Store store;
  std::vector<std::unique_ptr<Server>> replicas;
  std::vector<std::unique_ptr<Server>> apps;
  std::vector<EntrySpec> specs;
  std::vector<std::unique_ptr<Process>> entries;
  std::atomic<int> runs = 0;
};

// A sound replica: one event, and the end of the stream.
auto Answer(Deployment& deployment, Connection& connection, const Request& request) -> void {
  ++deployment.runs;
  const std::string event = "id: 1\ndata: part\n\n";
  std::ostringstream out;
  out << "HTTP/1.1 200 OK\r\nX-Filbertstair-Attempt-Id: "
      << FindHeader(request.headers, "X-Filbertstair-Attempt-Id")
      << "\r\nX-Filbertstair-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
      << "Transfer-Encoding: chunked\r\n\r\n"
      << std::hex << event.size() << "\r\n"
      << event << "\r\n0\r\n\r\n";
  connection.Send(out.str());
}

auto Start(Deployment& deployment, const std::filesystem::path& folder) -> void {
  for (int i = 0; i < kModels; ++i) {
    deployment.replicas.push_back(
        std::make_unique<Server>([&](Connection& connection, const Request& request) {
          Answer(deployment, connection, request);
        }));
    deployment.store.Put("servers/m" + std::to_string(i),
                         ReplicaJson("moisture-llm", deployment.replicas.back()->Address(),
                                     kZones[i % kZones.size()], 64));
  }
  for (int i = 0; i < kApps; ++i) {
    deployment.apps.push_back(std::make_unique<Server>([&](Connection& connection,
                                                           const Request& request) {
      const auto id = FindHeader(request.headers, "X-Filbertstair-Attempt-Id");
      deployment.callers.NoteRun(id);
      std::this_thread::sleep_for(kWork);
      connection.Respond(
          200, {{"X-Filbertstair-Attempt-Id", id}, {"X-Filbertstair-Server-Seal", "s"}}, "stamped");
    }));
    deployment.store.Put(
        "servers/a" + std::to_string(i),
        ReplicaJson("cert-app", deployment.apps.back()->Address(), kZones[i % kZones.size()], 32));
  }
  deployment.store.Put("op/config",
                       ConfigJson(7,
                                  {RouteJson("/chat/", "streaming", "moisture-llm", false),
                                   RouteJson("/stamp/", "non_idempotent", "cert-app", true)},
                                  {"moisture-llm", "cert-app"}, {"key-1"}));
  for (int i = 0; i < kEntries; ++i) {
    deployment.specs.push_back({.id = "edge-" + std::to_string(i + 1),
                                .store = deployment.store.Address(),
                                .front = FreeAddress(),
                                .peers = FreeAddress(),
                                .readiness = FreeAddress(),
                                .seeds = {},
                                .memory_mb = kMemoryMb});
  }
  for (auto& spec : deployment.specs) {
    for (const auto& other : deployment.specs) spec.seeds.push_back(other.peers);
    deployment.entries.push_back(StartEntry(spec, folder));
  }
  for (const auto& spec : deployment.specs) {
    if (!AwaitReady(spec.readiness, seconds(20))) throw std::runtime_error("no entry is ready");
  }
}

// A request to the model with a prompt of its own, whose parts hold one token each if `many`.
auto MakeRequest(int serial, bool many) -> Request {
  std::ostringstream parts;
  parts << std::hex << 0x5c1e07a200000000 + serial << ":1";
  int count = 1;
  constexpr int first_id = 0x100;
  constexpr std::size_t other_headers = 512;
  if (many) {
    while (static_cast<std::size_t>(parts.tellp()) + other_headers < kMaxHeaderBytes) {
      parts << ',' << first_id + count++ << ":1";
    }
  } else {
    parts << ",91bd3f06:1,e4402b7d:1";
    count += 2;
  }
  std::ostringstream id;
  id << std::hex << 0x9c41d07b00000000 + serial;
  return {"POST",
          "/chat/2f",
          {{"Host", kHost},
           {"X-Filbertstair-Attempt-Id", id.str()},
           {"X-Filbertstair-Model", "m"},
           {"X-Filbertstair-Token-Count", std::to_string(count) + ",5"},
           {"X-Filbertstair-Prompt-Prefix", parts.str()},
           {"X-Filbertstair-Deadline-Ms", "15000"},
           {"Authorization", "Bearer key-1"}},
          "{}"};
}

struct Totals {
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> other = 0;
};

auto RunClient(const Deployment& deployment, bool many, Clock::time_point end, Totals& totals)
    -> void {
  while (Clock::now() < end) {
    const int serial = totals.sent++;
    if (serial >= kMaxRequests) return;
    const auto& front = deployment.specs[serial % kEntries].front;
    const auto reply = Exchange(front, MakeRequest(serial, many), seconds(15));
    if (reply.status == 200 && reply.whole) {
      ++totals.served;
    } else if (reply.status == 503) {
      ++totals.refused;
      std::this_thread::sleep_for(milliseconds(200));
    } else {
      ++totals.other;
    }
  }
}

auto Run(const Options& options, Record& record, const std::filesystem::path& folder) -> int {
  Deployment deployment;
  Start(deployment, folder);
  record.Add("the entries are ready; memory of each machine: " + std::to_string(kMemoryMb) +
             " MB; header of a request: " +
             std::to_string(Format(MakeRequest(0, options.trouble)).size()) + " bytes");
  std::this_thread::sleep_for(kContact + seconds(1));
  std::vector<std::string> fronts;
  for (const auto& spec : deployment.specs) fronts.push_back(spec.front);
  deployment.callers.Start(fronts, "/stamp/2f", kCallers);
  std::this_thread::sleep_for(seconds(2));
  Totals totals;
  const auto end = Clock::now() + kRunTime;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] { RunClient(deployment, options.trouble, end, totals); });
  }
  std::atomic<bool> working = true;
  bool over = false;
  std::thread watch([&] {
    Clock::time_point next{};
    while (working && !over) {
      std::ostringstream line;
      line << "sent " << totals.sent << ", served " << totals.served << ", refused "
           << totals.refused << ", else " << totals.other << ", runs " << deployment.runs;
      for (int i = 0; i < kEntries; ++i) {
        auto& entry = *deployment.entries[i];
        const auto mb = entry.StatusKb("VmRSS") / 1024;
        const bool running = entry.IsRunning();
        line << "; " << deployment.specs[i].id << ' ' << mb << " MB";
        if (running && mb <= kMemoryMb) continue;
        over = true;
        line << (running ? ", over its memory: the platform kills it" : ", ended by itself");
        entry.Kill();
      }
      if (Clock::now() >= next || over) {
        record.Add(line.str());
        next = Clock::now() + seconds(2);
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    // The clients have seen enough.
    totals.sent = kMaxRequests;
  });
  for (auto& client : clients) client.join();
  working = false;
  watch.join();
  if (over) std::this_thread::sleep_for(seconds(1));
  int most_lost = 0;
  for (const auto& [front, lost] : deployment.callers.CountLost()) {
    most_lost = std::max(most_lost, lost);
  }
  record.Add(std::to_string(deployment.callers.CountAnswered()) +
             " requests that may run once were answered, " + std::to_string(most_lost) +
             " on kept connections were passed on to a sound replica by one machine and lost; "
             "allowed are " +
             std::to_string(kAllowedLost));
  for (auto& entry : deployment.entries) entry->Kill();
  if (totals.served == 0 || deployment.callers.CountAnswered() == 0) return kNotRun;
  return most_lost > kAllowedLost ? kBroken : kHeld;
}

}  // namespace
}  // namespace filbertstair::review

auto main(int argc, char** argv) -> int {
  using filbertstair::review::Run;
  const auto options = filbertstair::review::ReadOptions(argc, argv);
  return filbertstair::review::RunCase(
      options, [&](auto& record, const auto& folder) { return Run(options, record, folder); });
}
