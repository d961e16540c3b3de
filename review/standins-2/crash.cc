// One replica crashes while it begins an answer to a request that is legal in size and whose prompt
// has thousands of parts. Does the entry that sent the request stay within its machine's memory, or
// are the requests lost that it has passed on to sound replicas?

#include <unistd.h>

#include <algorithm>
#include <memory>
#include <sstream>

#include "kit.h"

namespace filbertstair::review {
namespace {

// A third of the 23 `edge` machines of the site, among them the five smallest.
constexpr int kEntries = 8;
constexpr int kSmallEntries = 5;
constexpr int kModels = 12;
// Memory and cores of the smallest and of the largest ones.
constexpr int kMemoryMb = 120;
constexpr double kCores = 0.068;
constexpr int kLargeMemoryMb = 512;
constexpr double kLargeCores = 0.5;
constexpr std::size_t kMaxHeaderBytes = 16384;
// Callers of the application at the first entry, and the work of a request.
constexpr int kCallers = 10;
constexpr int kApps = 2;
constexpr milliseconds kWork{300};
// Lost requests that the rule allows.
constexpr int kAllowedLost = 3;
// Time until the entries are in touch (`contact-ms` is 5,000), from the head of the answer to the
// crash, and for what follows it.
constexpr seconds kLinkTime{7};
constexpr milliseconds kCrashAfter{200};
constexpr seconds kWatchTime{15};
const std::vector<std::string> kZones = {"north-cr", "central-ay", "south-sk"};

struct Deployment {
  // Outlives the replicas, which record their runs there.
  KeptCallers callers;
  Store store;
  std::vector<std::unique_ptr<Server>> replicas;
  std::vector<std::unique_ptr<Server>> apps;
  std::vector<EntrySpec> specs;
  std::vector<std::unique_ptr<Process>> entries;
  // Replica that has the request with the long prompt; -1 before.
  std::atomic<int> chosen = -1;
  std::atomic<bool> ending = false;
};

auto IsLong(const Request& request) -> bool {
  constexpr std::size_t usual_bytes = 1000;
  return FindHeader(request.headers, "X-Filbertstair-Prompt-Prefix").size() > usual_bytes;
}

// A sound replica. The answer to the long prompt takes longer than the replica lives.
auto Answer(Deployment& deployment, bool trouble, int replica, Connection& connection,
            const Request& request) -> void {
  connection.Send("HTTP/1.1 200 OK\r\nX-Filbertstair-Attempt-Id: " +
                  FindHeader(request.headers, "X-Filbertstair-Attempt-Id") +
                  "\r\nX-Filbertstair-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
  if (IsLong(request)) {
    deployment.chosen = replica;
    if (trouble) {
      while (!connection.IsPeerGone() && !deployment.ending && connection.Send("")) {
        std::this_thread::sleep_for(milliseconds(5));
      }
      return;
    }
    std::this_thread::sleep_for(kCrashAfter);
  }
  connection.Send("12\r\nid: 1\ndata: part\n\n\r\n0\r\n\r\n");
}

auto Start(Deployment& deployment, bool trouble, const std::filesystem::path& folder) -> void {
  for (int i = 0; i < kModels; ++i) {
    deployment.replicas.push_back(
        std::make_unique<Server>([&, i, trouble](Connection& connection, const Request& request) {
          Answer(deployment, trouble, i, connection, request);
        }));
    deployment.store.Put("servers/m" + std::to_string(i),
                         ReplicaJson("tutor-llm", deployment.replicas.back()->Address(),
                                     kZones[i % kZones.size()], 64));
  }
  for (int i = 0; i < kApps; ++i) {
    deployment.apps.push_back(std::make_unique<Server>([&](Connection& connection,
                                                           const Request& request) {
      const auto id = FindHeader(request.headers, "X-Filbertstair-Attempt-Id");
      deployment.callers.NoteRun(id);
      std::this_thread::sleep_for(kWork);
      connection.Respond(
          200, {{"X-Filbertstair-Attempt-Id", id}, {"X-Filbertstair-Server-Seal", "s"}}, "booked");
    }));
    deployment.store.Put("servers/a" + std::to_string(i),
                         ReplicaJson("booking-app", deployment.apps.back()->Address(),
                                     kZones[i % kZones.size()], 16));
  }
  deployment.store.Put("op/config",
                       ConfigJson(7,
                                  {RouteJson("/review/", "streaming", "tutor-llm", false),
                                   RouteJson("/book/", "non_idempotent", "booking-app", true)},
                                  {"tutor-llm", "booking-app"}, {"key-1"}));
  for (int i = 1; i <= kEntries; ++i) {
    deployment.specs.push_back({.id = "edge-" + std::to_string(i),
                                .store = deployment.store.Address(),
                                .front = FreeAddress(),
                                .peers = FreeAddress(),
                                .readiness = FreeAddress(),
                                .seeds = {},
                                .cores = i <= kSmallEntries ? kCores : kLargeCores,
                                .memory_mb = i <= kSmallEntries ? kMemoryMb : kLargeMemoryMb});
  }
  constexpr std::size_t seeds = 3;
  for (auto& spec : deployment.specs) {
    for (std::size_t i = 0; i < seeds; ++i) spec.seeds.push_back(deployment.specs[i].peers);
    deployment.entries.push_back(StartEntry(spec, folder));
  }
  for (const auto& spec : deployment.specs) {
    if (!AwaitReady(spec.readiness, seconds(20))) throw std::runtime_error("no entry is ready");
  }
  std::this_thread::sleep_for(kLinkTime);
}

auto MakeRequest(int serial, bool many) -> Request {
  std::ostringstream parts;
  int count = 2;
  parts << "5c1e07a2:1";
  constexpr int first_id = 0x100;
  constexpr std::size_t other_headers = 512;
  while (many && static_cast<std::size_t>(parts.tellp()) + other_headers < kMaxHeaderBytes) {
    parts << ',' << std::hex << first_id + count++ << ":1";
  }
  parts << ',' << std::hex << 0xe4402b7d00000000 + serial << ":1";
  std::ostringstream id;
  id << std::hex << 0x9c41d07b00000000 + serial;
  return {"POST",
          "/review/2f",
          {{"Host", kHost},
           {"X-Filbertstair-Attempt-Id", id.str()},
           {"X-Filbertstair-Model", "m"},
           {"X-Filbertstair-Token-Count", std::to_string(count) + ",5"},
           {"X-Filbertstair-Prompt-Prefix", parts.str()},
           {"X-Filbertstair-Deadline-Ms", "15000"},
           {"Authorization", "Bearer key-1"}},
          "{}"};
}

// Returns the peak memory in MB of each entry, in one line.
auto DescribeMemory(const Deployment& deployment) -> std::string {
  std::ostringstream line;
  line << "peak memory:";
  for (const auto& entry : deployment.entries) line << ' ' << entry->StatusKb("VmHWM") / 1024;
  return line.str() + " MB";
}

auto Run(const Options& options, Record& record, const std::filesystem::path& folder) -> int {
  Deployment deployment;
  Start(deployment, options.trouble, folder);
  const std::vector<std::string> front = {deployment.specs[0].front};
  deployment.callers.Start(front, "/book/2f", kCallers);
  std::this_thread::sleep_for(seconds(2));
  const auto request = MakeRequest(1, true);
  record.Add("the entries are linked; " + DescribeMemory(deployment));
  record.Add("header of the request: " + std::to_string(Format(request).size()) + " bytes");
  Reply reply;
  std::thread client([&] { reply = Exchange(deployment.specs[0].front, request, seconds(15)); });
  const auto sent = Clock::now();
  while (deployment.chosen < 0 && Clock::now() < sent + seconds(5)) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  if (options.trouble && deployment.chosen >= 0) {
    std::this_thread::sleep_for(kCrashAfter);
    deployment.replicas[deployment.chosen]->Stop();
    record.Add("replica m" + std::to_string(deployment.chosen) + " crashes");
  }
  client.join();
  record.Add("the client got status " + std::to_string(reply.status));
  bool over = false;
  const auto end = Clock::now() + kWatchTime;
  for (int serial = 2; Clock::now() < end && !over; ++serial) {
    const auto& spec = deployment.specs[serial % kEntries];
    const auto ordinary = Exchange(spec.front, MakeRequest(serial, false), seconds(15));
    record.Add(spec.id + ", ordinary request: status " + std::to_string(ordinary.status) + "; " +
               DescribeMemory(deployment));
    for (int i = 0; i < kEntries; ++i) {
      auto& entry = *deployment.entries[i];
      const std::uint64_t memory_mb = deployment.specs[i].memory_mb;
      const bool running = entry.IsRunning();
      if (running && entry.StatusKb("VmHWM") / 1024 <= memory_mb) continue;
      record.Add(deployment.specs[i].id +
                 (running ? " was over the memory of its machine, " + std::to_string(memory_mb) +
                                " MB: the platform kills it"
                          : " has ended by itself"));
      entry.Kill();
      over = true;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  deployment.ending = true;
  if (over) std::this_thread::sleep_for(seconds(1));
  const int lost = deployment.callers.CountLost()[deployment.specs[0].front];
  record.Add(std::to_string(deployment.callers.CountAnswered()) +
             " requests that may run once were answered, " + std::to_string(lost) +
             " on kept connections were passed on to a sound replica and lost; allowed are " +
             std::to_string(kAllowedLost));
  for (auto& entry : deployment.entries) entry->Kill();
  if (deployment.chosen < 0 || deployment.callers.CountAnswered() == 0) return kNotRun;
  return lost > kAllowedLost ? kBroken : kHeld;
}

}  // namespace
}  // namespace filbertstair::review

auto main(int argc, char** argv) -> int {
  using filbertstair::review::Run;
  const auto options = filbertstair::review::ReadOptions(argc, argv);
  return filbertstair::review::RunCase(
      options, [&](auto& record, const auto& folder) { return Run(options, record, folder); });
}
