#include "lab.h"

// Another writer leaves entries that can't be read in the store, each as large as the store allows.
// As on the users' machines, an entry whose memory exceeds that of its machine is killed and
// started again; this is counted.
namespace filbertstair::lab {
namespace {

constexpr int kReplicas = 3;
constexpr int kMachines = 2;
constexpr int kMemoryMb = 120;
constexpr std::int64_t kMemoryKb = std::int64_t{kMemoryMb} * 1024;
constexpr int kForeign = 120;
// `max-value-bytes`.
constexpr std::size_t kValueBytes = 1048576;
// Ends of processes by themselves on each of two machines that break the rule.
constexpr int kEnds = 3;
constexpr std::chrono::seconds kTrafficTime{45};

// Kills the entry when it exceeds its memory, and starts it again. Returns the number of its ends.
auto WatchMemory(Lab& lab, Entry& entry, const std::vector<int>& seeds, Clock::time_point until)
    -> int {
  int ends = 0;
  std::int64_t peak = 0;
  while (Clock::now() < until) {
    SleepMs(20);
    const auto memory = entry.PeakMemoryKb();
    peak = std::max(peak, memory);
    const bool ended = entry.HasEnded();
    if (!ended && memory <= kMemoryKb) continue;
    ++ends;
    lab.record.Note(entry.Id() + " ends for the " + std::to_string(ends) + ". time, with " +
                    std::to_string(memory) + " KB of " + std::to_string(kMemoryKb));
    entry.Kill();
    SleepMs(500);
    entry.Start(seeds);
  }
  lab.record.Say(entry.Id() + ": ended " + std::to_string(ends) + " times; peak " +
                 std::to_string(peak) + " KB of " + std::to_string(kMemoryKb));
  return ends;
}

auto Run(Lab& lab) -> int {
  auto& record = lab.record;
  // Never destroyed: the threads of the stand-ins use it until the process ends.
  auto& store = *new Store(record);
  store.Put("op/config",
            FormatConfig(3, {FormatRoute("/app/", "idempotent", "app", 2000, 400)}, {"key-a"}));
  for (int i = 1; i <= kReplicas; ++i) {
    new Replica(record, store, "i-app" + std::to_string(i), "app", 6, Replica::Work{});
  }
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<int> seeds;
  for (int i = 1; i <= kMachines; ++i) {
    entries.push_back(std::make_unique<Entry>(record, "entry-" + std::to_string(i), lab.directory,
                                              store.Port(), kMemoryMb));
    seeds.push_back(entries.back()->peers);
  }
  for (auto& entry : entries) entry->Start(seeds);
  for (auto& entry : entries) {
    if (!entry->WaitReady(Ms(10000))) return 2;
  }
  SleepMs(2000);

  const auto until = Clock::now() + kTrafficTime;
  std::vector<int> ends(kMachines);
  std::vector<std::thread> watchers;
  for (std::size_t i = 0; i < kMachines; ++i) {
    watchers.emplace_back([&, i] { ends[i] = WatchMemory(lab, *entries[i], seeds, until); });
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
  // Counts by what the entries answer, in periods of five seconds.
  const auto begin = Clock::now();
  std::map<std::int64_t, std::map<int, int>> answers;
  int served = 0;
  for (std::uint64_t number = 0; Clock::now() < until; ++number) {
    const auto period = std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - begin) / 5;
    const auto& entry = *entries[number % kMachines];
    const auto id = AttemptId("c", number);
    const auto answer =
        Call(entry.callers, FormatRequest("GET", "/app/x", id, "key-a", 1000), Ms(1500));
    ++answers[period.count()][answer.Status()];
    if (answer.Status() == 200) ++served;
    SleepMs(50);
  }
  for (auto& watcher : watchers) watcher.join();
  for (const auto& [period, counts] : answers) {
    std::ostringstream line;
    line << "from " << 5 * period << " s on:";
    for (const auto& [status, count] : counts) {
      line << " " << (status == 0 ? "no answer" : std::to_string(status)) << " " << count << ",";
    }
    record.Note(line.str());
  }
  if (served < 20) return 2;
  const bool broken = std::all_of(ends.begin(), ends.end(), [](int n) { return n >= kEnds; });
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace filbertstair::lab

auto main(int argc, char** argv) -> int {
  return filbertstair::lab::RunCase(argc, argv, filbertstair::lab::Run);
}
