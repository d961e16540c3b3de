#include "kit.h"

// Another writer's entry without the field `version` stands among those of the replicas. Its server
// belongs to another system, which runs whatever it is sent.
namespace review {
namespace {

const std::vector<RouteSpec> kRoutes = {{.prefix = "/stamp/",
                                         .type = "non_idempotent",
                                         .service = "cert",
                                         .timeout_ms = 1000,
                                         .objective_ms = 400}};

// A stamp takes 60 ms.
auto AnswerLater(Replica& replica, Connection& connection, const Message& request) -> bool {
  SleepMs(60);
  return AnswerPlainly(replica, connection, request);
}

struct Runs {
  std::mutex mutex;
  std::map<std::string, std::string> server_of;
};

auto RunOdd(Record& record) -> bool {
  const TemporaryDirectory directory;
  auto& store = Keep<Store>();
  auto& runs = Keep<Runs>();
  const auto note = [&](const std::string& server, const Message& request) {
    const auto call = Find(request.headers, "X-Filbertstair-Attempt-Id");
    const std::lock_guard lock(runs.mutex);
    runs.server_of[call] = server;
    record.Line("run " + call + " at " + server);
  };
  for (const auto* id : {"i-1", "i-2"}) {
    auto& replica = Keep<Replica>(id, "cert", AnswerLater);
    replica.on_run = [&, id](const Message& request) { note(id, request); };
    store.Put(replica.Key(), replica.Listing());
  }
  const auto& foreign = Keep<Listener>([&](const std::shared_ptr<Connection>& connection) {
    while (true) {
      const auto request = connection->Read(false, std::chrono::hours(1));
      if (request.first.empty() || !request.complete) return;
      note("the foreign server", request);
      if (!connection->Send(Answer(200, "done elsewhere"))) return;
    }
  });
  if (HasTrouble()) {
    store.Put("servers/x-1", R"({"service":"cert","address":")" + AddressOf(foreign.Port()) +
                                 R"(","zone":"north-cr","capacity":16,"state":"ready"})");
    record.Line("an entry without version, cold-left-ms and call-seq was written");
  }
  store.Put("op/config", ConfigJson(1, kRoutes, {"cert"}, {{"team", {"key-1"}}}));
  const Entry entry("edge-1", directory.Path(), store.Port());
  entry.AwaitReady();

  std::atomic<int> served = 0;
  std::atomic<int> at_foreign = 0;
  constexpr int client_count = 8;
  std::vector<std::thread> clients;
  clients.reserve(client_count);
  for (int client = 0; client < client_count; ++client) {
    clients.emplace_back([&, client] {
      for (int i = 0; i < 25; ++i) {
        const auto id = "stamp-" + std::to_string(client) + "-" + std::to_string(i);
        const auto answer = Request(
            entry.Front(),
            {.id = id, .target = "/stamp/lot", .key = "key-1", .body = "lot", .deadline_ms = 2000});
        served += Status(answer) == 200 ? 1 : 0;
        record.Line("sent " + id + ": status " + std::to_string(Status(answer)));
        const std::lock_guard lock(runs.mutex);
        at_foreign += runs.server_of[id] == "the foreign server" ? 1 : 0;
      }
    });
  }
  for (auto& client : clients) client.join();
  record.Line(std::to_string(served) + " served, " + std::to_string(at_foreign) +
              " run by a server that is no replica");
  if (served == 0) throw std::runtime_error("nothing was served");
  return at_foreign > 0;
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int { return review::RunCase(argc, argv, review::RunOdd); }
