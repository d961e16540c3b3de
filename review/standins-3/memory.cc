#include "lab.h"

// Callers send legal prompts of very many short parts. As on the users' machines, an entry whose
// resident memory exceeds that of its machine is killed and started again; this is counted.
namespace filbertstair::lab {
namespace {

constexpr int kMemoryMb = 260;
constexpr std::int64_t kMemoryKb = std::int64_t{kMemoryMb} * 1024;
constexpr int kReplicas = 12;
constexpr int kCallers = 12;
constexpr int kParts = 3600;
constexpr int kMachines = 2;
// Ends of processes by themselves on each of two machines that break the rule.
constexpr int kEnds = 3;
constexpr Ms kCallPause{60};
constexpr std::chrono::seconds kTrafficTime{75};

// Returns the headers of a prompt of `kParts` tokens: parts of one token each, of which the first
// differs for each request, or three parts.
auto PromptFields(bool many, int number) -> Fields {
  std::ostringstream parts;
  parts << std::hex << 0xa000000 + number << ":1";
  for (int i = 1; i < kParts && many; ++i) parts << ",1:1";
  if (!many) parts << ",1:" << std::dec << kParts - 2 << ",2:1";
  return {{"X-Filbertstair-Model", "m"},
          {"X-Filbertstair-Token-Count", std::to_string(kParts) + ",5"},
          {"X-Filbertstair-Prompt-Prefix", parts.str()}};
}

struct Tally {
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  std::atomic<int> cut = 0;
  std::atomic<bool> over = false;
};

// Calls the entry until the end.
auto CallOften(const Entry& entry, const Lab& lab, const std::string& word, Tally& tally) -> void {
  for (int number = tally.sent++; !tally.over; number = tally.sent++) {
    const auto request =
        FormatRequest("POST", "/stream/x", AttemptId(word, static_cast<std::uint64_t>(number)),
                      "key-a", 15000, PromptFields(lab.trouble, number));
    const auto answer = Call(entry.callers, request, Ms(15000));
    if (answer.Status() == 200 && answer.complete) ++tally.served;
    if (answer.Status() == 200 && !answer.complete) ++tally.cut;
    std::this_thread::sleep_for(kCallPause);
  }
}

// Kills the entry while it exceeds its memory, and starts it again. Returns the number of its ends.
auto WatchMemory(Lab& lab, Entry& entry, const std::vector<int>& seeds, Clock::time_point until,
                 const Tally& tally) -> int {
  int ends = 0;
  std::int64_t noted = 0;
  while (Clock::now() < until && ends < kEnds) {
    SleepMs(50);
    const auto memory = entry.MemoryKb();
    if (memory >= noted + 50000) {
      lab.record.Note(entry.Id() + ": " + std::to_string(memory) + " KB after " +
                      std::to_string(tally.sent) + " requests");
      noted = memory;
    }
    const bool ended = entry.HasEnded();
    if (!ended && memory <= kMemoryKb) continue;
    ++ends;
    lab.record.Say(entry.Id() + " ends for the " + std::to_string(ends) + ". time, with " +
                   std::to_string(memory) + " KB of " + std::to_string(kMemoryKb));
    entry.Kill();
    SleepMs(500);
    entry.Start(seeds);
    noted = 0;
  }
  lab.record.Say(entry.Id() + ": ended " + std::to_string(ends) + " times, at last " +
                 std::to_string(entry.MemoryKb()) + " KB");
  return ends;
}

auto Run(Lab& lab) -> int {
  auto& record = lab.record;
  // Never destroyed: the threads of the stand-ins use it until the process ends.
  auto& store = *new Store(record);
  store.Put("op/config",
            FormatConfig(3, {FormatRoute("/stream/", "streaming", "llm", 15000, 1000)}, {"key-a"}));
  for (int i = 1; i <= kReplicas; ++i) {
    new Replica(record, store, "i-llm" + std::to_string(i), "llm", 64, Replica::Work{3, 5, 10});
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
  for (auto& entry : entries) {
    record.Say(entry->Id() + ": " + std::to_string(entry->MemoryKb()) + " KB at the start");
  }

  const auto until = Clock::now() + kTrafficTime;
  std::vector<Tally> tallies(kMachines);
  std::vector<int> ends(kMachines);
  std::vector<std::thread> watchers;
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < kMachines; ++i) {
    for (int k = 0; k < kCallers; ++k) {
      callers.emplace_back([&, i, word = "m" + std::to_string(i)] {
        CallOften(*entries[i], lab, word, tallies[i]);
      });
    }
    watchers.emplace_back(
        [&, i] { ends[i] = WatchMemory(lab, *entries[i], seeds, until, tallies[i]); });
  }
  for (auto& watcher : watchers) watcher.join();
  for (auto& tally : tallies) tally.over = true;
  for (auto& caller : callers) caller.join();
  int served = 0;
  for (std::size_t i = 0; i < kMachines; ++i) {
    record.Say(entries[i]->Id() + ": " + std::to_string(tallies[i].sent) + " requests, " +
               std::to_string(tallies[i].served) + " served whole, " +
               std::to_string(tallies[i].cut) + " cut in the answer");
    served += tallies[i].served;
  }
  if (served < 200) return 2;
  const bool broken = std::all_of(ends.begin(), ends.end(), [](int n) { return n >= kEnds; });
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace filbertstair::lab

auto main(int argc, char** argv) -> int {
  return filbertstair::lab::RunCase(argc, argv, filbertstair::lab::Run);
}
