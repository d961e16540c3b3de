#include "memory.h"

// Many callers upload requests at once, each within `max-body-bytes`. The platform ends a process
// that exceeds `ram-mb` and starts it again after a short delay.
namespace review {
namespace {

// The site has 72 callers; `burst` with x = 1.7 makes 122 of them, here at two entries.
constexpr int kCallersPerEntry = 61;
constexpr std::size_t kBodyBytes = 4'000'000;    // max-body-bytes is 4,194,304
constexpr std::size_t kUploadBytesPerMs = 2000;  // 16 Mbit/s; all callers fill an edge's link
constexpr std::size_t kPieceBytes = 20'000;      // sent at once
constexpr int kUploadsEach = 3;
// A caller repeats a request that failed, and waits before.
constexpr int kMaxTries = 4;
constexpr int kRetryWaitMs = 500;

const std::vector<RouteSpec> kRoutes = {{.prefix = "/upload/",
                                         .type = "idempotent",
                                         .service = "llm",
                                         .timeout_ms = 15000,
                                         .objective_ms = 1000},
                                        {.prefix = "/stamp/",
                                         .type = "non_idempotent",
                                         .service = "cert",
                                         .timeout_ms = 1000,
                                         .objective_ms = 400}};

// Uploads one request at the speed of the caller's link and returns the status of the answer.
auto Upload(int port, const std::string& id, const std::string& body) -> int {
  const auto connection = Connection::Open(port);
  if (connection == nullptr) return 0;
  const auto text = RequestText(
      {.id = id, .target = "/upload/x", .key = "key-1", .body = body, .deadline_ms = 15000});
  for (std::size_t at = 0; at < text.size(); at += kPieceBytes) {
    if (!connection->Send(text.substr(at, kPieceBytes))) return 0;
    SleepMs(static_cast<int>(kPieceBytes / kUploadBytesPerMs));
  }
  return Status(connection->Read(true, milliseconds(16000)));
}

auto RunBurst(Record& record) -> bool {
  const TemporaryDirectory directory;
  auto& store = Keep<Store>();
  auto& runs = Keep<Runs>();
  const auto slow = [](Replica& replica, Connection& connection, const Message& request) {
    SleepMs(200);
    return AnswerPlainly(replica, connection, request);
  };
  for (const auto* id : {"i-1", "i-2", "i-3"}) {
    const auto& replica = Keep<Replica>(id, "llm", slow);
    store.Put(replica.Key(), replica.Listing());
  }
  for (const auto* id : {"i-4", "i-5"}) {
    auto& replica = Keep<Replica>(id, "cert", slow);
    replica.on_run = [&](const Message& request) {
      const std::lock_guard lock(runs.mutex);
      runs.ids.insert(Find(request.headers, "X-Filbertstair-Attempt-Id"));
    };
    store.Put(replica.Key(), replica.Listing());
  }
  store.Put("op/config", ConfigJson(1, kRoutes, {"llm", "cert"}, {{"team", {"key-1"}}}));
  std::vector<Machine> machines(2);
  machines[0].entry = std::make_unique<Entry>("edge-1", directory.Path(), store.Port());
  machines[1].entry =
      std::make_unique<Entry>("edge-2", directory.Path(), store.Port(), machines[0].entry->Peers());
  for (const auto& machine : machines) machine.entry->AwaitReady();

  std::atomic<bool> done = false;
  Counts counts;
  std::vector<std::thread> threads;
  std::vector<std::thread> uploads;
  const std::string body(kBodyBytes, 'b');
  for (auto& machine : machines) {
    const auto name = machine.entry->Name();
    const int port = machine.entry->Front();
    threads.emplace_back([&] { Watch(machine, record, done); });
    for (int client = 0; client < 8; ++client) {
      threads.emplace_back([&, name, port, client] {
        StampOverKeptConnection(name + "-stamp-" + std::to_string(client), port, runs, counts,
                                record, done);
      });
    }
    // Without the burst the same uploads come one after the other.
    const int callers = HasTrouble() ? kCallersPerEntry : 1;
    for (int caller = 0; caller < callers; ++caller) {
      uploads.emplace_back([&, name, port, caller] {
        int tries = 0;
        for (int i = 0; i < kUploadsEach; ++i) {
          for (int status = 0; status != 200 && tries < (i + 1) * kMaxTries;) {
            const auto id =
                name + "-upload-" + std::to_string(caller) + "-" + std::to_string(++tries);
            status = Upload(port, id, body);
            record.Line(id + ": status " + std::to_string(status));
            if (status != 200) SleepMs(kRetryWaitMs);
          }
        }
      });
    }
  }
  for (auto& upload : uploads) upload.join();
  done = true;
  for (auto& thread : threads) thread.join();
  for (const auto& machine : machines) record.Line(Summary(machine));
  record.Line(std::to_string(counts.served) + " stamps answered, " + std::to_string(counts.lost) +
              " passed on and lost");
  if (counts.served == 0) throw std::runtime_error("nothing was served");
  return counts.lost > kAllowedLost;
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int { return review::RunCase(argc, argv, review::RunBurst); }
