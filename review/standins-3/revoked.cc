#include "lab.h"

// A credential is revoked. Seconds later the store comes back from a copy that still has it, and
// one entry is killed and started again while the store is away. Requests with the credential that
// are sent later than `revoke-timeout-ms` after the acknowledgement must not run.
namespace filbertstair::lab {
namespace {

constexpr int kApps = 3;
constexpr int kMemoryMb = 260;
// `revoke-timeout-ms`.
constexpr Ms kRevokeTime{5000};
// Counted from the acknowledgement of the version without the credential.
constexpr Ms kAwayAt{3500};
constexpr Ms kKillAt{3700};
constexpr Ms kReturnAt{4500};
// The operator writes again what the copy lacks.
constexpr Ms kRewriteAt{6000};
constexpr Ms kEndAt{12000};

auto Run(Lab& lab) -> int {
  auto& record = lab.record;
  // Never destroyed: the threads of the stand-ins use it until the process ends.
  auto& store = *new Store(record);
  const auto route = FormatRoute("/app/", "idempotent", "app", 2000, 400);
  const auto with_key = FormatConfig(3, {route}, {"key-a", "key-b"});
  const auto without_key = FormatConfig(5, {route}, {"key-a"});
  store.Put("op/config", with_key);
  auto& runs = *new std::map<std::string, std::string>();
  auto& runs_mutex = *new std::mutex();
  for (int i = 1; i <= kApps; ++i) {
    auto* replica =
        new Replica(record, store, "i-app" + std::to_string(i), "app", 6, Replica::Work{});
    replica->on_run = [&runs, &runs_mutex, replica](const std::string& id, bool, Clock::time_point,
                                                    Clock::time_point) {
      const std::lock_guard lock(runs_mutex);
      runs[id] = replica->Id();
    };
  }
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<int> seeds;
  for (int i = 1; i <= 3; ++i) {
    entries.push_back(std::make_unique<Entry>(record, "entry-" + std::to_string(i), lab.directory,
                                              store.Port(), kMemoryMb));
    seeds.push_back(entries.back()->peers);
  }
  for (auto& entry : entries) entry->Start(seeds);
  for (auto& entry : entries) {
    if (!entry->WaitReady(Ms(10000))) return 2;
  }
  SleepMs(3000);

  store.Copy();
  record.Note("the copy is made; " + store.Describe("op/"));
  SleepMs(500);
  store.Put("op/config", without_key);
  const auto acknowledged = Clock::now();
  record.Note("the version without key-b is acknowledged; " + store.Describe("op/"));
  const auto at = [&](Ms time, const std::string& what, const std::function<void()>& act) {
    std::thread([=, &record] {
      std::this_thread::sleep_until(acknowledged + time);
      act();
      record.Note(what);
    }).detach();
  };
  if (lab.trouble) {
    at(kAwayAt, "the store is away", [&store] { store.SetAway(true); });
    at(kKillAt, "entry-2 was killed and started", [&] {
      entries[1]->Kill();
      entries[1]->Start(seeds);
    });
    at(kReturnAt, "the store is back from the copy", [&store] { store.Restore(); });
    at(kRewriteAt, "the operator has written its version again",
       [&] { store.Put("op/config", without_key); });
  }
  // Every entry gets a request with each credential, again and again.
  std::map<std::string, Clock::time_point> sent;
  std::map<std::string, int> answers;
  int sound = 0;
  for (std::uint64_t number = 0; Clock::now() < acknowledged + kEndAt; ++number) {
    for (auto& entry : entries) {
      for (const std::string key : {"key-a", "key-b"}) {
        const auto id = AttemptId(key.substr(4) + entry->Id().substr(6), number);
        const auto begin = Clock::now();
        const auto answer =
            Call(entry->callers, FormatRequest("GET", "/app/x", id, key, 1000), Ms(1500));
        const auto since = std::chrono::duration_cast<Ms>(begin - acknowledged).count();
        const auto status = std::to_string(answer.Status());
        std::ostringstream kind;
        kind << entry->Id() << " " << key << " " << status;
        ++answers[kind.str()];
        if (key == "key-b") sent[id] = begin;
        if (key == "key-a" && answer.Status() == 200) ++sound;
        if (key == "key-b" && answer.Status() == 200) {
          record.Note("sent " + std::to_string(since) + " ms after the acknowledgement to " +
                      entry->Id() + " with key-b: " + id + ", 200, " + answer.body);
        }
      }
    }
    SleepMs(40);
  }
  for (const auto& [what, count] : answers) record.Note(what + ": " + std::to_string(count));
  record.Note("at the end; " + store.Describe("op/"));
  int late = 0;
  const std::lock_guard lock(runs_mutex);
  for (const auto& [id, begin] : sent) {
    if (!runs.contains(id) || begin <= acknowledged + kRevokeTime) continue;
    ++late;
    const auto since = std::chrono::duration_cast<Ms>(begin - acknowledged).count();
    record.Note("BROKEN: " + id + ", sent with key-b after " + std::to_string(since) +
                " ms, ran at " + runs[id]);
  }
  record.Say(std::to_string(late) +
             " requests with the revoked key ran that were sent later than " +
             std::to_string(kRevokeTime.count()) + " ms after its acknowledgement");
  if (sound < 20) return 2;
  return late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace filbertstair::lab

auto main(int argc, char** argv) -> int {
  return filbertstair::lab::RunCase(argc, argv, filbertstair::lab::Run);
}
