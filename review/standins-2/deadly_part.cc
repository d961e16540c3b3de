// A part of a prompt crashes each replica that begins to write an answer on it. The prompts that
// hold it are legal in size and have hundreds of parts. Are such requests held back in time?

#include <cstdlib>
#include <iomanip>
#include <memory>
#include <sstream>

#include "kit.h"

namespace filbertstair::review {
namespace {

constexpr int kEntries = 2;
constexpr int kModels = 12;
// Prompts that hold the deadly part.
struct Prompts {
  // Parts of each. With 700 the header takes half of its limit.
  std::uint32_t parts = 700;
  std::string deadly = "1ac4b7d1";
};
// Bound `contact-ms` of the small deployment.
constexpr milliseconds kContact{4000};
// Crash from which the rule counts, and requests that may reach replicas afterwards.
constexpr int kFifthCrash = 5;
constexpr int kAllowed = 3;
constexpr milliseconds kDeadlyPause{700};
constexpr milliseconds kSoundPause{20};
// As on the day of the page, for_s = 22.0.
constexpr seconds kRunTime{22};
// Time until a replica that crashed is back.
constexpr seconds kRestartTime{2};
const std::vector<std::string> kZones = {"north-cr", "central-ay", "south-sk"};

struct Deployment {
  Prompts prompts;
  Store store;
  std::vector<std::unique_ptr<Server>> replicas;
  std::vector<EntrySpec> specs;
  std::vector<std::unique_ptr<Process>> entries;
  std::mutex mutex;
  // Times at which requests with the deadly part reached replicas, and at which these crashed.
  std::vector<Clock::time_point> arrivals;
  std::vector<Clock::time_point> crashes;
  std::set<int> crashed;
  std::int64_t starts = 0;
  std::atomic<bool> ending = false;
};

auto PutReplica(Deployment& deployment, int replica) -> void {
  const auto text = ReplicaJson("moisture-llm", deployment.replicas[replica]->Address(),
                                kZones[replica % kZones.size()], 64);
  // Each start of a replica is later than the ones before.
  std::int64_t born = 0;
  {
    const std::lock_guard lock(deployment.mutex);
    born = 1765080000000 + ++deployment.starts * 1000;
  }
  const auto at = text.rfind(':');
  deployment.store.Put("servers/m" + std::to_string(replica),
                       text.substr(0, at + 1) + std::to_string(born) + "}");
}

auto HasDeadlyPart(const Prompts& prompts, const Request& request) -> bool {
  const auto parts = "," + FindHeader(request.headers, "X-Filbertstair-Prompt-Prefix");
  return parts.find("," + prompts.deadly + ":") != std::string::npos;
}

auto Answer(Deployment& deployment, bool trouble, int replica, Connection& connection,
            const Request& request) -> void {
  const auto id = FindHeader(request.headers, "X-Filbertstair-Attempt-Id");
  const auto head = "HTTP/1.1 200 OK\r\nX-Filbertstair-Attempt-Id: " + id +
                    "\r\nX-Filbertstair-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n";
  connection.Send(head);
  const bool deadly = HasDeadlyPart(deployment.prompts, request);
  if (deadly) {
    const std::lock_guard lock(deployment.mutex);
    deployment.arrivals.push_back(Clock::now());
    if (trouble) {
      deployment.crashes.push_back(Clock::now());
      deployment.crashed.insert(replica);
    }
  }
  if (deadly && trouble) {
    deployment.replicas[replica]->Stop();
    return;
  }
  connection.Send("12\r\nid: 1\ndata: part\n\n\r\n0\r\n\r\n");
}

// Starts crashed replicas again.
auto Supervise(Deployment& deployment) -> void {
  std::map<int, Clock::time_point> due;
  while (!deployment.ending) {
    {
      const std::lock_guard lock(deployment.mutex);
      for (const int replica : deployment.crashed) due[replica] = Clock::now() + kRestartTime;
      deployment.crashed.clear();
    }
    for (auto item = due.begin(); item != due.end();) {
      if (item->second > Clock::now()) {
        ++item;
        continue;
      }
      deployment.replicas[item->first]->Start();
      PutReplica(deployment, item->first);
      item = due.erase(item);
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
}

auto Start(Deployment& deployment, bool trouble, const std::filesystem::path& folder) -> void {
  for (int i = 0; i < kModels; ++i) {
    deployment.replicas.push_back(
        std::make_unique<Server>([&, i, trouble](Connection& connection, const Request& request) {
          Answer(deployment, trouble, i, connection, request);
        }));
    PutReplica(deployment, i);
  }
  deployment.store.Put("op/config",
                       ConfigJson(7, {RouteJson("/report/", "streaming", "moisture-llm", false)},
                                  {"moisture-llm"}, {"key-1"}));
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
  // The entries are in touch.
  std::this_thread::sleep_for(kContact + seconds(1));
}

// Returns an id of eight hexadecimal digits that no other index has, spread over all such ids.
auto PartId(std::uint32_t index) -> std::string {
  constexpr std::uint32_t odd_multiplier = 2654435761;
  std::ostringstream out;
  out << std::hex << std::setfill('0') << std::setw(8) << index * odd_multiplier;
  return out.str();
}

// A request with a prompt of its own: its last part is shared with no other one. A sound one shares
// all other parts with those that hold the deadly part, but for that.
auto MakeRequest(const Prompts& prompts, std::uint32_t serial, bool deadly) -> Request {
  std::ostringstream parts;
  std::uint32_t count = 2;
  parts << "5c1e07a2:8";
  if (deadly) parts << ',' << prompts.deadly << ":8";
  if (deadly) ++count;
  for (std::uint32_t i = 1; i + 3 <= prompts.parts; ++i, ++count) parts << ',' << PartId(i) << ":2";
  parts << ',' << std::hex << 0xe4402b7d00000000 + serial << ":8";
  std::ostringstream id;
  id << std::hex << 0x9c41d07b00000000 + serial;
  return {"POST",
          "/report/2f",
          {{"Host", kHost},
           {"X-Filbertstair-Attempt-Id", id.str()},
           {"X-Filbertstair-Model", "m"},
           {"X-Filbertstair-Token-Count", std::to_string(2 * count) + ",5"},
           {"X-Filbertstair-Prompt-Prefix", parts.str()},
           {"X-Filbertstair-Deadline-Ms", "15000"},
           {"Authorization", "Bearer key-1"}},
          "{}"};
}

// Sends sound requests, which share their caller and the first part with the others.
auto SendSound(const Deployment& deployment, std::atomic<int>& sent, std::atomic<int>& served)
    -> void {
  constexpr std::uint32_t first_serial = 1000000;
  for (std::uint32_t i = 0; !deployment.ending; ++i) {
    const auto request = MakeRequest(deployment.prompts, first_serial + i, false);
    ++sent;
    const auto reply = Exchange(deployment.specs[i % kEntries].front, request, seconds(15));
    if (reply.status == 200 && reply.whole) ++served;
    std::this_thread::sleep_for(kSoundPause);
  }
}

// Returns how many requests with the part reached replicas later than the rule allows.
auto CountLate(const Deployment& deployment) -> int {
  if (deployment.crashes.size() < kFifthCrash) return 0;
  const auto from = deployment.crashes[kFifthCrash - 1] + kContact;
  int late = 0;
  for (const auto at : deployment.arrivals) late += at > from ? 1 : 0;
  return late;
}

// VARIANT=usual plays prompts of three parts with ids as in the examples of the pages, and
// VARIANT=long-ids the same with ids of 128 bits.
auto ChoosePrompts() -> Prompts {
  const char* variant = std::getenv("VARIANT");
  if (variant == nullptr) return {};
  if (std::string_view(variant) == "usual") return {.parts = 3};
  if (std::string_view(variant) == "long-ids") {
    return {.parts = 3, .deadly = "1ac4b7d11ac4b7d11ac4b7d11ac4b7d1"};
  }
  throw std::runtime_error("unknown VARIANT");
}

auto Run(const Options& options, Record& record, const std::filesystem::path& folder) -> int {
  Deployment deployment;
  deployment.prompts = ChoosePrompts();
  Start(deployment, options.trouble, folder);
  std::atomic<int> sound_sent = 0;
  std::atomic<int> served = 0;
  std::thread sound([&] { SendSound(deployment, sound_sent, served); });
  std::thread supervisor([&] { Supervise(deployment); });
  record.Add("header of a request with the part: " +
             std::to_string(Format(MakeRequest(deployment.prompts, 0, true)).size()) + " bytes");
  const auto end = Clock::now() + kRunTime;
  std::uint32_t serial = 0;
  for (; Clock::now() < end; ++serial) {
    const auto& spec = deployment.specs[serial % kEntries];
    const auto reply =
        Exchange(spec.front, MakeRequest(deployment.prompts, serial, true), seconds(15));
    {
      const std::lock_guard lock(deployment.mutex);
      record.Add(spec.id + ", request " + std::to_string(serial) + " with the part: status " +
                 std::to_string(reply.status) + "; " + std::to_string(deployment.arrivals.size()) +
                 " have reached replicas, " + std::to_string(deployment.crashes.size()) +
                 " crashes, " + std::to_string(served) + " sound requests served");
    }
    std::this_thread::sleep_for(kDeadlyPause);
  }
  deployment.ending = true;
  sound.join();
  supervisor.join();
  if (served == 0) return kNotRun;
  const int late = CountLate(deployment);
  record.Add(std::to_string(serial) + " requests with the part and " + std::to_string(sound_sent) +
             " sound ones were sent");
  record.Add(std::to_string(late) + " requests with the part reached replicas later than " +
             std::to_string(kContact.count()) + " ms after the fifth crash; allowed are " +
             std::to_string(kAllowed));
  return late > kAllowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace filbertstair::review

auto main(int argc, char** argv) -> int {
  using filbertstair::review::Run;
  const auto options = filbertstair::review::ReadOptions(argc, argv);
  return filbertstair::review::RunCase(
      options, [&](auto& record, const auto& folder) { return Run(options, record, folder); });
}
