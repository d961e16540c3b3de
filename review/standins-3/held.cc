#include "lab.h"

// The replicas of one service lose the store for 5 s and are removed from it. Just then the store
// comes back from a copy some seconds old, which has them. The route to this service was added
// later; requests on it are compared with those on the first route.
namespace filbertstair::lab {
namespace {

constexpr int kModels = 12;
constexpr int kApps = 3;
constexpr int kMemoryMb = 260;
constexpr Ms kCutTime{5000};
// How old the copy is when the store comes back from it, and for how long the store is away.
constexpr Ms kCopyAge{4000};
constexpr Ms kAwayTime{500};

struct Count {
  int sent = 0;
  int served = 0;
};

// Sends requests on both routes to all entries, and counts those that are served.
auto Probe(Lab& lab, const std::string& word, const std::vector<Entry*>& entries, int rounds)
    -> std::pair<Count, Count> {
  Count first;
  Count added;
  std::map<std::string, int> refusals;
  std::string last;
  const auto call = [&](Entry& entry, const std::string& path, const std::string& id,
                        Count& count) {
    const auto answer =
        Call(entry.callers, FormatRequest("POST", path, id, "key-a", 4000), Ms(5000));
    ++count.sent;
    if (answer.Status() == 200 && answer.complete) {
      ++count.served;
    } else {
      ++refusals[path + " " + std::to_string(answer.Status())];
      last = answer.body;
    }
  };
  for (int round = 0; round < rounds; ++round) {
    for (auto* entry : entries) {
      const auto number = static_cast<std::uint64_t>(first.sent);
      call(*entry, "/stream/x", AttemptId(word + "f", number), first);
      call(*entry, "/added/x", AttemptId(word + "a", number), added);
    }
    SleepMs(250);
  }
  lab.record.Say(word + ": first route " + std::to_string(first.served) + " of " +
                 std::to_string(first.sent) + " served, added route " +
                 std::to_string(added.served) + " of " + std::to_string(added.sent));
  for (const auto& [what, count] : refusals) {
    std::ostringstream line;
    line << "  " << what << ": " << count << " times, the last: " << last;
    lab.record.Note(line.str());
  }
  return {first, added};
}

auto Run(Lab& lab) -> int {
  auto& record = lab.record;
  // Never destroyed: the threads of the stand-ins use it until the process ends.
  auto& store = *new Store(record);
  const auto first_route = FormatRoute("/stream/", "streaming", "llm", 15000, 1000);
  const auto added_route = FormatRoute("/added/", "idempotent", "app", 2000, 400);
  store.Put("op/config", FormatConfig(3, {first_route}, {"key-a"}));
  for (int i = 1; i <= kModels; ++i) {
    new Replica(record, store, "i-llm" + std::to_string(i), "llm", 64, Replica::Work{});
  }
  std::vector<Replica*> apps;
  for (int i = 1; i <= kApps; ++i) {
    apps.push_back(
        new Replica(record, store, "i-app" + std::to_string(i), "app", 6, Replica::Work{}));
  }
  Entry one(record, "entry-1", lab.directory, store.Port(), kMemoryMb);
  Entry two(record, "entry-2", lab.directory, store.Port(), kMemoryMb);
  const std::vector<int> seeds = {one.peers, two.peers};
  const std::vector<Entry*> entries = {&one, &two};
  for (auto* entry : entries) entry->Start(seeds);
  for (auto* entry : entries) {
    if (!entry->WaitReady(Ms(10000))) return 2;
  }
  SleepMs(1000);
  store.Put("op/config", FormatConfig(4, {first_route, added_route}, {"key-a"}));
  SleepMs(3000);
  const auto before = Probe(lab, "before", entries, 6);
  if (before.second.served < before.second.sent / 2) return 2;

  if (lab.trouble) {
    record.Note("the replicas of app are cut off from the store");
    for (auto* app : apps) app->SetCut(true);
    const auto heal_at = Clock::now() + kCutTime;
    SleepMs(1000);
    store.Copy();
    const auto return_at = Clock::now() + kCopyAge;
    record.Note("the copy is made; " + store.Describe("servers/i-app"));
    std::this_thread::sleep_until(return_at - kAwayTime);
    for (auto* app : apps) {
      if (store.Has("servers/" + app->Id())) record.Note(app->Id() + " is still listed");
    }
    store.SetAway(true);
    record.Note("the store is away");
    std::this_thread::sleep_until(std::min(return_at, heal_at));
    store.Restore();
    record.Note("the store is back from the copy; " + store.Describe("servers/i-app"));
    std::this_thread::sleep_until(heal_at);
    for (auto* app : apps) app->SetCut(false);
    record.Note("the replicas of app reach the store again");
  } else {
    SleepMs(kCutTime.count());
  }
  // More than `contact-ms` (4 s), two seconds for lapsed entries and `config-apply-ms` (2.5 s).
  SleepMs(15000);
  record.Note("15 s later; " + store.Describe("servers/i-app"));
  const auto after = Probe(lab, "after", entries, 20);
  SleepMs(20000);
  Probe(lab, "later", entries, 5);
  const auto& [first, added] = after;
  if (first.served < first.sent / 2 || added.sent < 20) return 2;
  const bool broken = 4 * added.served * first.sent < first.served * added.sent;
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace filbertstair::lab

auto main(int argc, char** argv) -> int {
  return filbertstair::lab::RunCase(argc, argv, filbertstair::lab::Run);
}
