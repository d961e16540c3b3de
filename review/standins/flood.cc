#include "memory.h"

// A replica in trouble answers a few requests with bytes that are no answer, without end: after a
// sound head of a chunked answer, the line that should state the size of a chunk never ends. The
// platform ends a process that exceeds `ram-mb` and starts it again after a short delay.
namespace review {
namespace {

constexpr int kContactMs = 4000;
constexpr int kRunSeconds = 30;  // length of the traffic
constexpr int kBadOneIn = 20;    // of the answers of the replica in trouble; `garble`: x = 0.05
// A link of an edge machine carries 1,000 Mbit/s.
constexpr std::size_t kFloodBytesPerMs = 100'000;

const std::vector<RouteSpec> kRoutes = {{.prefix = "/chat/",
                                         .type = "streaming",
                                         .service = "llm",
                                         .timeout_ms = 15000,
                                         .objective_ms = 400},
                                        {.prefix = "/stamp/",
                                         .type = "non_idempotent",
                                         .service = "cert",
                                         .timeout_ms = 1000,
                                         .objective_ms = 400}};

// Sends garbage until the caller closes the connection; all floods together keep to the speed of a
// link.
auto Flood(Connection& connection) -> void {
  constexpr int pause_ms = 5;
  static std::atomic<int> active = 0;
  const std::string garbage(kFloodBytesPerMs * pause_ms, 'x');
  ++active;
  while (connection.Send(garbage)) SleepMs(pause_ms * active);
  --active;
}

auto StreamEvents(const Replica& replica, Connection& connection, const Message& request) -> bool {
  std::string text = "HTTP/1.1 200 x\r\nContent-Type: text/event-stream\r\n" +
                     replica.Marks(request) + "Transfer-Encoding: chunked\r\n\r\n";
  if (!connection.Send(text)) return false;
  for (int i = 1; i <= 20; ++i) {
    const auto event = "id: " + std::to_string(i) + "\ndata: part\n\n";
    std::ostringstream chunk;
    chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
    if (!connection.Send(chunk.str())) return false;
    SleepMs(50);
  }
  return connection.Send("0\r\n\r\n");
}

auto RunFlood(Record& record) -> bool {
  const TemporaryDirectory directory;
  auto& store = Keep<Store>();
  auto& answers = Keep<std::atomic<int>>(0);
  auto& runs = Keep<Runs>();
  const auto stream = [&](Replica& replica, Connection& connection, const Message& request) {
    const bool in_trouble = HasTrouble() && replica.Id() == "i-1";
    if (!in_trouble || ++answers % kBadOneIn != 0) {
      return StreamEvents(replica, connection, request);
    }
    record.Line("bad answer to " + Find(request.headers, "X-Filbertstair-Attempt-Id"));
    if (connection.Send("HTTP/1.1 200 x\r\nContent-Type: text/event-stream\r\n" +
                        replica.Marks(request) + "Transfer-Encoding: chunked\r\n\r\n")) {
      Flood(connection);
    }
    return false;
  };
  const auto stamp = [](Replica& replica, Connection& connection, const Message& request) {
    SleepMs(200);
    return AnswerPlainly(replica, connection, request);
  };
  for (const auto* id : {"i-1", "i-2", "i-3"}) {
    const auto& replica = Keep<Replica>(id, "llm", stream);
    store.Put(replica.Key(), replica.Listing());
  }
  for (const auto* id : {"i-4", "i-5"}) {
    auto& replica = Keep<Replica>(id, "cert", stamp);
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
  // From then on the machines are in touch.
  SleepMs(kContactMs);

  std::atomic<bool> done = false;
  Counts counts;
  std::vector<std::thread> threads;
  for (auto& machine : machines) {
    const auto name = machine.entry->Name();
    const int port = machine.entry->Front();
    threads.emplace_back([&] { Watch(machine, record, done); });
    for (int client = 0; client < 8; ++client) {
      threads.emplace_back([&, name, port, client] {
        for (int i = 0; !done; ++i) {
          const auto id = name + "-chat-" + std::to_string(client) + "-" + std::to_string(i);
          const auto reply =
              Request(port, {.id = id, .target = "/chat/x", .key = "key-1", .deadline_ms = 15000});
          if (!reply.complete) SleepMs(200);
        }
      });
    }
    for (int client = 0; client < 4; ++client) {
      threads.emplace_back([&, name, port, client] {
        StampOverKeptConnection(name + "-stamp-" + std::to_string(client), port, runs, counts,
                                record, done);
      });
    }
  }
  SleepMs(kRunSeconds * 1000);
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

auto main(int argc, char** argv) -> int { return review::RunCase(argc, argv, review::RunFlood); }
