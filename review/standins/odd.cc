#include "kit.h"

// Another writer overwrites the entry of a replica of another service, and leaves fields out. The
// replica writes its own entry again with its next check-in.
namespace review {
namespace {

constexpr int kCheckInMs = 1200;  // heartbeat-ms of the sites

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
  // No route leads to this replica's service.
  auto& archive = Keep<Replica>("i-9", "archive", AnswerLater);
  archive.on_run = [&](const Message& request) { note("i-9 of archive", request); };
  store.Put(archive.Key(), archive.Listing());
  store.Put("op/config", ConfigJson(1, kRoutes, {"cert", "archive"}, {{"team", {"key-1"}}}));
  const Entry entry("edge-1", directory.Path(), store.Port());
  entry.AwaitReady();

  std::atomic<int> served = 0;
  std::atomic<int> at_archive = 0;
  std::atomic<bool> done = false;
  constexpr int client_count = 8;
  std::vector<std::thread> clients;
  clients.reserve(client_count);
  for (int client = 0; client < client_count; ++client) {
    clients.emplace_back([&, client] {
      for (int i = 0; !done; ++i) {
        const auto id = "stamp-" + std::to_string(client) + "-" + std::to_string(i);
        const auto answer = Request(
            entry.Front(),
            {.id = id, .target = "/stamp/lot", .key = "key-1", .body = "lot", .deadline_ms = 2000});
        served += Status(answer) == 200 ? 1 : 0;
        record.Line("sent " + id + ": status " + std::to_string(Status(answer)));
        const std::lock_guard lock(runs.mutex);
        at_archive += runs.server_of[id] == "i-9 of archive" ? 1 : 0;
      }
    });
  }
  SleepMs(kCheckInMs);
  if (HasTrouble()) {
    auto odd = archive.Listing();
    odd.replace(odd.find("archive"), std::string_view("archive").size(), "cert");
    odd.replace(odd.find(R"("version":"1",)"), std::string_view(R"("version":"1",)").size(), "");
    store.Put(archive.Key(), odd);
    record.Line("another writer: " + archive.Key() + " = " + odd);
  }
  SleepMs(kCheckInMs);
  store.Put(archive.Key(), archive.Listing());
  record.Line("check-in of i-9");
  SleepMs(kCheckInMs);
  done = true;
  for (auto& client : clients) client.join();
  record.Line(std::to_string(served) + " served, " + std::to_string(at_archive) +
              " run by a replica of another service");
  if (served == 0) throw std::runtime_error("nothing was served");
  return at_archive > 0;
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int { return review::RunCase(argc, argv, review::RunOdd); }
