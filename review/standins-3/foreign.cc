#include "lab.h"

// Another writer leaves entries that can't be read in the store, each as large as the store allows.
// Right after that a version moves a public route to another service. Requests on it, and on a
// route that needs a key, are sent on.
namespace filbertstair::lab {
namespace {

constexpr int kReplicas = 3;
constexpr int kMemoryMb = 260;
constexpr int kForeign = 16;
// `max-value-bytes`.
constexpr std::size_t kValueBytes = 1048576;
// `config-apply-ms`.
constexpr Ms kApplyTime{2500};
constexpr Ms kEndAt{26000};

auto MakePublic(std::string route) -> std::string {
  const std::string field = "\"public\":";
  return route.replace(route.find(field), field.size() + 5, field + "true");
}

auto Run(Lab& lab) -> int {
  auto& record = lab.record;
  // Never destroyed: the threads of the stand-ins use it until the process ends.
  auto& store = *new Store(record);
  const auto keyed = FormatRoute("/keyed/", "idempotent", "app", 2000, 400);
  const auto before = MakePublic(FormatRoute("/open/", "idempotent", "app", 2000, 400));
  const auto after = MakePublic(FormatRoute("/open/", "idempotent", "llm", 2000, 400));
  store.Put("op/config", FormatConfig(3, {keyed, before}, {"key-a"}));
  auto& runs = *new std::map<std::string, std::string>();
  auto& mutex = *new std::mutex();
  for (const std::string service : {"app", "llm"}) {
    for (int i = 1; i <= kReplicas; ++i) {
      auto* replica = new Replica(record, store, "i-" + service + std::to_string(i), service, 6,
                                  Replica::Work{});
      replica->on_run = [&runs, &mutex, service](const std::string& id, bool, Clock::time_point,
                                                 Clock::time_point) {
        const std::lock_guard lock(mutex);
        runs[id] = service;
      };
    }
  }
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<int> seeds;
  for (int i = 1; i <= 2; ++i) {
    entries.push_back(std::make_unique<Entry>(record, "entry-" + std::to_string(i), lab.directory,
                                              store.Port(), kMemoryMb));
    seeds.push_back(entries.back()->peers);
  }
  for (auto& entry : entries) entry->Start(seeds);
  for (auto& entry : entries) {
    if (!entry->WaitReady(Ms(10000))) return 2;
  }
  SleepMs(3000);

  if (lab.trouble) {
    const std::string garbage(kValueBytes, '\xff');
    std::vector<std::string> keys;
    for (int i = 1; i <= kForeign; ++i) keys.push_back("servers/other-" + std::to_string(i));
    store.PutAll(keys, garbage);
    record.Note("another writer has written " + std::to_string(kForeign) + " entries of " +
                std::to_string(kValueBytes) + " bytes");
  }
  SleepMs(100);
  store.Put("op/config", FormatConfig(5, {keyed, after}, {"key-a"}));
  const auto acknowledged = Clock::now();
  record.Note("the version that moves /open/ from app to llm is acknowledged");

  // Every entry gets a request on each route, again and again.
  std::map<std::string, Clock::time_point> sent;
  std::map<std::string, std::string> last;
  std::map<std::string, int> answers;
  int sound = 0;
  for (std::uint64_t number = 0; Clock::now() < acknowledged + kEndAt; ++number) {
    for (auto& entry : entries) {
      for (const std::string path : {"/keyed/", "/open/"}) {
        const auto id = AttemptId(path.substr(1, 1) + entry->Id().substr(6), number);
        const auto begin = Clock::now();
        const auto answer =
            Call(entry->callers, FormatRequest("GET", path + "x", id, "key-a", 1000), Ms(1500));
        std::ostringstream kind;
        kind << entry->Id() << ", " << path << ": " << answer.Status();
        {
          const std::lock_guard lock(mutex);
          if (runs.contains(id)) kind << " by " << runs[id];
        }
        ++answers[kind.str()];
        // Notes each change of what an entry answers.
        auto& known = last[entry->Id() + path];
        if (known != kind.str()) {
          const auto since = std::chrono::duration_cast<Ms>(begin - acknowledged).count();
          record.Note(kind.str() + " from " + std::to_string(since) + " ms on, " +
                      answer.body.substr(0, 120));
          known = kind.str();
        }
        if (path == "/open/") sent[id] = begin;
        if (answer.Status() == 200) ++sound;
      }
    }
    SleepMs(40);
  }
  for (const auto& [what, count] : answers) {
    record.Note(what + ", " + std::to_string(count) + " times");
  }
  int late = 0;
  const std::lock_guard lock(mutex);
  for (const auto& [id, begin] : sent) {
    if (begin <= acknowledged + kApplyTime || !runs.contains(id) || runs[id] != "app") continue;
    ++late;
    if (late % 50 != 1) continue;
    const auto since = std::chrono::duration_cast<Ms>(begin - acknowledged).count();
    record.Note("BROKEN: " + id + ", sent after " + std::to_string(since) +
                " ms, ran at the service of before");
  }
  record.Say(std::to_string(late) + " requests that were sent later than " +
             std::to_string(kApplyTime.count()) +
             " ms after the acknowledgement ran at the service of before");
  if (sound < 20) return 2;
  return late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace filbertstair::lab

auto main(int argc, char** argv) -> int {
  return filbertstair::lab::RunCase(argc, argv, filbertstair::lab::Run);
}
