#include "kit.h"

// Requests with a body whose framing is unclear: `Transfer-Encoding` names a coding, but not
// `chunked` as the last one, and there is no length. The body holds a request of its own.
namespace review {
namespace {

const std::vector<RouteSpec> kRoutes = {{.prefix = "/stamp/",
                                         .type = "non_idempotent",
                                         .service = "cert",
                                         .timeout_ms = 1000,
                                         .objective_ms = 400}};

// A request as a replica ran it.
struct Run {
  std::string target;
  std::string body;
};

struct Runs {
  std::mutex mutex;
  std::map<std::string, Run> by_id;
};

// Sends the bytes and reads all that is answered within a second.
auto Exchange(int port, const std::string& bytes, Record& record) -> void {
  const auto connection = Connection::Open(port);
  if (connection == nullptr || !connection->Send(bytes)) return;
  while (true) {
    const auto answer = connection->Read(true, milliseconds(1000));
    if (answer.first.empty()) return;
    record.Line("answered " + answer.first);
  }
}

auto RunSmuggle(Record& record) -> bool {
  const TemporaryDirectory directory;
  auto& store = Keep<Store>();
  auto& runs = Keep<Runs>();
  for (const auto* id : {"i-1", "i-2"}) {
    auto& replica = Keep<Replica>(id, "cert", AnswerPlainly);
    replica.on_run = [&](const Message& request) {
      const auto call = Find(request.headers, "X-Filbertstair-Attempt-Id");
      const std::lock_guard lock(runs.mutex);
      runs.by_id[call] = {Target(request), request.body};
      record.Line("run " + call + " " + Target(request) + " with a body of " +
                  std::to_string(request.body.size()) + " bytes");
    };
    store.Put(replica.Key(), replica.Listing());
  }
  store.Put("op/config", ConfigJson(1, kRoutes, {"cert"}, {{"team", {"key-1"}}}));
  const Entry entry("edge-1", directory.Path(), store.Port());
  entry.AwaitReady();

  int broken = 0;
  int serial = 0;
  for (const std::string coding : {"gzip", "identity", "xchunked", "deflate"}) {
    const auto number = std::to_string(++serial);
    const auto inner = RequestText(
        {.id = "inner-" + number, .target = "/stamp/inner", .key = "key-1", .deadline_ms = 2000});
    // With a length the same bytes are a sound request.
    const auto framing = HasTrouble() ? "Transfer-Encoding: " + coding
                                      : "Content-Length: " + std::to_string(inner.size());
    const auto id = "outer-" + number;
    std::ostringstream text;
    text << "POST /stamp/outer HTTP/1.1\r\nHost: a.example\r\nX-Filbertstair-Attempt-Id: " << id
         << "\r\nX-Filbertstair-Deadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\n"
         << framing << "\r\n\r\n"
         << inner;
    std::ostringstream note;
    note << "send " << id << " with " << framing << " and a body of " << inner.size() << " bytes";
    record.Line(note.str());
    Exchange(entry.Front(), text.str(), record);
    const std::lock_guard lock(runs.mutex);
    const auto outer = runs.by_id.find(id);
    if (outer != runs.by_id.end() && outer->second.body != inner) {
      ++broken;
      record.Line(id + " ran with another body");
    }
    if (runs.by_id.contains("inner-" + number)) {
      ++broken;
      record.Line("the body of " + id + " ran as a request of its own");
    }
    if (!HasTrouble() && outer == runs.by_id.end()) throw std::runtime_error(id + " did not run");
  }
  return broken > 0;
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int { return review::RunCase(argc, argv, review::RunSmuggle); }
