#include "kit.h"

// A tenant's requests share their first prompt part and come in batches. From the third batch on,
// one in twenty holds a part that crashes each replica that begins to write an answer on it.
namespace review {
namespace {

constexpr int kBatches = 4;
constexpr int kBatchSize = 40;
constexpr int kBatchIntervalMs = 15000;
constexpr int kFirstDeadlyBatch = 2;
constexpr int kDeadlyOneIn = 20;  // `poison`: share = 0.05, for_s = 22
constexpr int kAwayMs = 4000;     // a crashed replica is back then; its entry has lapsed
constexpr int kDeadlineMs = 15000;
constexpr int kEvents = 40;
constexpr int kEventMs = 50;
constexpr std::int64_t kContactMs = 4000;

const std::vector<RouteSpec> kRoutes = {{.prefix = "/report/",
                                         .type = "streaming",
                                         .service = "llm",
                                         .timeout_ms = 15000,
                                         .objective_ms = 1000,
                                         .attempts = 2,
                                         .resumable = true}};

struct Runs {
  std::mutex mutex;
  std::set<std::string> begun;
  int crashes = 0;
  std::int64_t last_crash_ms = 0;
};

// A model replica that a deadly part crashes: its connections end and its port refuses new ones
// until it starts again, under another id.
class ModelReplica {
 public:
  ModelReplica(std::string name, Store& store, Runs& runs, Record& record)
      : name(std::move(name)), store(store), runs(runs), record(record), port(FreePort()) {
    this->Start();
  }

 private:
  auto Start() -> void {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = Loopback(this->port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd, 256) != 0) {
      this->record.Line("could not start " + this->name);
      return;
    }
    const std::lock_guard lock(this->mutex);
    this->listener = fd;
    this->id = this->name + "." + std::to_string(++this->starts);
    this->store.Put("servers/" + this->id, R"({"service":"llm","address":")" +
                                               AddressOf(this->port) +
                                               R"(","zone":"north-cr","version":"1","capacity":64,)"
                                               R"("state":"ready","cold-left-ms":0,"call-seq":0,)"
                                               R"("born":)" +
                                               std::to_string(1764900000000 + this->starts) + "}");
    std::thread([this, fd, id = this->id] {
      while (true) {
        const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) break;
        std::thread([this, id, connection = std::make_shared<Connection>(accepted)] {
          this->Serve(connection, id);
        }).detach();
      }
      close(fd);
    }).detach();
  }

  auto Crash(const std::string& crashed_id) -> void {
    {
      const std::lock_guard lock(this->mutex);
      if (this->id != crashed_id) return;
      this->id.clear();
      shutdown(this->listener, SHUT_RDWR);
      for (const auto& connection : this->connections) connection->Abort();
      this->connections.clear();
    }
    const std::lock_guard lock(this->runs.mutex);
    ++this->runs.crashes;
    this->runs.last_crash_ms = this->record.NowMs();
    this->record.Line("crash of " + crashed_id);
    std::thread([this, crashed_id] {
      SleepMs(kAwayMs);
      this->store.Delete("servers/" + crashed_id);
      this->Start();
    }).detach();
  }

  auto Serve(const std::shared_ptr<Connection>& connection, const std::string& own_id) -> void {
    {
      const std::lock_guard lock(this->mutex);
      if (this->id != own_id) return;
      this->connections.insert(connection);
    }
    while (this->Answer(*connection, own_id)) {
    }
    const std::lock_guard lock(this->mutex);
    this->connections.erase(connection);
  }

  auto Answer(Connection& connection, const std::string& own_id) -> bool {
    const auto request = connection.Read(false, std::chrono::hours(1));
    if (request.first.empty() || !request.complete) return false;
    if (Find(request.headers, "X-Filbertstair-Expect-Replica") != own_id) {
      return connection.Send(review::Answer(421, ""));
    }
    const auto call = Find(request.headers, "X-Filbertstair-Attempt-Id");
    const bool deadly =
        Find(request.headers, "X-Filbertstair-Prompt-Prefix").find(",dead:") != std::string::npos;
    {
      const std::lock_guard lock(this->runs.mutex);
      this->runs.begun.insert(call);
      if (deadly) this->record.Line("run " + call + " at " + own_id + ", with the deadly part");
    }
    if (!connection.Send("HTTP/1.1 200 x\r\nContent-Type: text/event-stream\r\n"
                         "X-Filbertstair-Attempt-Id: " +
                         call + "\r\nX-Filbertstair-Server-Seal: " + own_id +
                         "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    if (deadly) {
      SleepMs(kEventMs);
      this->Crash(own_id);
      return false;
    }
    const int first = std::stoi("0" + Find(request.headers, "Last-Event-Id")) + 1;
    for (int i = first; i <= kEvents; ++i) {
      SleepMs(kEventMs);
      const auto event = "id: " + std::to_string(i) + "\ndata: part\n\n";
      std::ostringstream chunk;
      chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
      if (!connection.Send(chunk.str())) return false;
    }
    return connection.Send("0\r\n\r\n");
  }

  const std::string name;
  Store& store;
  Runs& runs;
  Record& record;
  const int port;
  std::mutex mutex;
  int starts = 0;
  int listener = -1;
  std::string id;
  std::set<std::shared_ptr<Connection>> connections;
};

// What a batch came to.
struct Batch {
  std::int64_t started_ms = 0;
  std::atomic<int> sound = 0;
  // Sound requests that began at their first attempt.
  std::atomic<int> begun = 0;
};

// Sends a request, and once more if it fails: at once, or when a refusal says so, but after a third
// of the time that is left at the latest.
auto Call(int port, const std::string& id, bool deadly, int serial, Batch& batch, Runs& runs,
          Record& record) -> void {
  const auto deadline_ms = record.NowMs() + kDeadlineMs;
  const auto middle = deadly ? "dead" : std::to_string(10 + serial % 20);
  std::ostringstream headers;
  headers << "X-Filbertstair-Model: m\r\nX-Filbertstair-Token-Count: 250,80\r\n"
          << "X-Filbertstair-Prompt-Prefix: 5:100," << middle << ":100," << 1000 + serial
          << ":50\r\n";
  for (int attempt = 1; attempt <= 2; ++attempt) {
    const auto attempt_id = id + "-" + std::to_string(attempt);
    const auto left_ms = static_cast<int>(deadline_ms - record.NowMs());
    const auto answer = Request(port, {.id = attempt_id,
                                       .target = "/report/x",
                                       .key = "key-1",
                                       .deadline_ms = left_ms,
                                       .headers = headers.str()});
    const bool whole = Status(answer) == 200 && answer.complete;
    bool begun = false;
    {
      const std::lock_guard lock(runs.mutex);
      begun = runs.begun.contains(attempt_id);
    }
    std::ostringstream note;
    note << "sent " << attempt_id << (deadly ? " (deadly)" : "") << ": status " << Status(answer)
         << (begun ? ", begun" : ", not begun") << (whole ? ", whole" : "");
    record.Line(note.str());
    if (!deadly && attempt == 1) {
      ++batch.sound;
      batch.begun += begun ? 1 : 0;
    }
    if (whole) return;
    const auto retry_after = Find(answer.headers, "Retry-After");
    const auto wait_ms = retry_after.empty() ? 0.0 : std::stod(retry_after) * 1000;
    const auto most_ms = static_cast<double>(deadline_ms - record.NowMs()) / 3;
    SleepMs(static_cast<int>(std::min(wait_ms, std::max(most_ms, 0.0))));
  }
}

auto RunDeadly(Record& record) -> bool {
  const TemporaryDirectory directory;
  auto& store = Keep<Store>();
  auto& runs = Keep<Runs>();
  for (const auto* name : {"m1", "m2", "m3"}) Keep<ModelReplica>(name, store, runs, record);
  store.Put("op/config", ConfigJson(1, kRoutes, {"llm"}, {{"team", {"key-1"}}}));
  const Entry first("edge-1", directory.Path(), store.Port());
  const Entry second("edge-2", directory.Path(), store.Port(), first.Peers());
  first.AwaitReady();
  second.AwaitReady();

  std::vector<Batch> batches(kBatches);
  std::vector<std::thread> callers;
  int serial = 0;
  for (int number = 0; number < kBatches; ++number) {
    auto& batch = batches[number];
    batch.started_ms = record.NowMs();
    record.Line("batch " + std::to_string(number));
    for (int i = 0; i < kBatchSize; ++i) {
      const bool deadly =
          HasTrouble() && number >= kFirstDeadlyBatch && i % kDeadlyOneIn == kDeadlyOneIn / 2;
      const int port = (i / 2 % 2 == 0 ? first : second).Front();
      const auto id = std::to_string(number) + "-" + std::to_string(i);
      callers.emplace_back([&, port, id, deadly, number_of_call = ++serial] {
        Call(port, id, deadly, number_of_call, batch, runs, record);
      });
      SleepMs(5);
    }
    SleepMs(static_cast<int>(batch.started_ms + kBatchIntervalMs - record.NowMs()));
  }
  for (auto& caller : callers) caller.join();
  for (const auto& batch : batches) {
    record.Line("batch at " + std::to_string(batch.started_ms) + ": " +
                std::to_string(batch.begun) + " of " + std::to_string(batch.sound) +
                " sound requests began at the first attempt");
  }
  record.Line(std::to_string(runs.crashes) + " crashes");
  // The first batch comes within `contact-ms` of the start.
  const auto& calm = batches[1];
  const auto& judged = batches.back();
  if (calm.begun < 20) throw std::runtime_error("sound requests are not served in calm");
  if (HasTrouble() && judged.started_ms < runs.last_crash_ms + 2 * kContactMs) {
    throw std::runtime_error("the last crash was too late to judge");
  }
  // Shares of 20 and more on both sides, as the rule compares them.
  return judged.sound >= 20 && 2 * judged.begun * calm.sound < calm.begun * judged.sound;
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int { return review::RunCase(argc, argv, review::RunDeadly); }
