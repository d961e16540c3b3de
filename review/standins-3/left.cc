#include "lab.h"

// Clients send requests ahead on one connection and leave. Work that goes on for them, and requests
// that reach replicas later, are counted.
namespace filbertstair::lab {
namespace {

constexpr int kApps = 3;
constexpr int kSlots = 6;
constexpr int kMemoryMb = 260;
constexpr int kClients = 12;
constexpr int kRounds = 3;
constexpr int kAhead = 40;
constexpr int kWorkMs = 2000;
constexpr Ms kStay{200};
// What the rule allows after the close.
constexpr Ms kGrace{500};
constexpr int kFew = 3;

struct Run {
  std::string id;
  Clock::time_point begin;
  Clock::time_point end;
  bool answered = false;
};

auto Play(Lab& lab) -> int {
  auto& record = lab.record;
  // Never destroyed: the threads of the stand-ins use it until the process ends.
  auto& store = *new Store(record);
  store.Put("op/config",
            FormatConfig(3, {FormatRoute("/app/", "idempotent", "app", 8000, 1000)}, {"key-a"}));
  auto& runs = *new std::vector<Run>();
  auto& mutex = *new std::mutex();
  for (int i = 1; i <= kApps; ++i) {
    auto* replica = new Replica(record, store, "i-app" + std::to_string(i), "app", kSlots,
                                Replica::Work{5, 20, kWorkMs});
    replica->on_run = [&runs, &mutex](const std::string& id, bool answered, Clock::time_point begin,
                                      Clock::time_point end) {
      const std::lock_guard lock(mutex);
      runs.push_back({id, begin, end, answered});
    };
  }
  Entry entry(record, "entry-1", lab.directory, store.Port(), kMemoryMb);
  entry.Start({entry.peers});
  if (!entry.WaitReady(Ms(10000))) return 2;
  SleepMs(1000);

  std::map<std::string, Clock::time_point> closed;
  std::uint64_t number = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::pair<std::unique_ptr<Connection>, std::vector<std::string>>> clients;
    for (int client = 0; client < kClients; ++client) {
      auto connection = Connect(entry.callers);
      std::vector<std::string> ids;
      std::string bytes;
      for (int i = 0; i < (lab.trouble ? kAhead : 1); ++i) {
        ids.push_back(AttemptId("g", number++));
        bytes += FormatRequest("GET", "/app/x", ids.back(), "key-a", 8000);
      }
      if (connection == nullptr || !connection->Send(bytes)) return 2;
      clients.emplace_back(std::move(connection), std::move(ids));
    }
    std::this_thread::sleep_for(kStay);
    for (auto& [connection, ids] : clients) {
      connection->Close();
      for (const auto& id : ids) closed[id] = Clock::now();
    }
    record.Note(std::to_string(kClients) + " clients have sent their requests and left");
    SleepMs(8000);
  }

  const std::lock_guard lock(mutex);
  int late = 0;
  int lasting = 0;
  int at_work = 0;
  for (const auto& run : runs) {
    const auto after = [&](Clock::time_point time) {
      return std::chrono::duration_cast<Ms>(time - closed.at(run.id)).count();
    };
    record.Note(run.id + " ran from " + std::to_string(after(run.begin)) + " to " +
                std::to_string(after(run.end)) + " ms after its client had left" +
                (run.answered ? ", to its end" : ", dropped"));
    if (after(run.begin) > kGrace.count()) ++late;
    if (after(run.begin) > 0) continue;
    ++lasting;
    if (after(run.end) > kGrace.count()) ++at_work;
  }
  record.Say(std::to_string(late) + " requests reached a replica over 500 ms after the close; " +
             std::to_string(at_work) + " of " + std::to_string(lasting) +
             " runs were still at work 500 ms after it");
  if (lasting < kClients) return 2;
  return late > kFew || 4 * at_work > lasting ? 1 : 0;
}

}  // namespace
}  // namespace filbertstair::lab

auto main(int argc, char** argv) -> int {
  return filbertstair::lab::RunCase(argc, argv, filbertstair::lab::Play);
}
