#ifndef FILBERTSTAIR_REVIEW_STANDINS_3_LAB_H_
#define FILBERTSTAIR_REVIEW_STANDINS_3_LAB_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "http.h"

// A small deployment on loopback: a store, replicas and callers in this process, entries as
// processes of their own.
namespace filbertstair::lab {

// Check-in interval of the replicas; an entry is removed after three of silence.
constexpr Ms kCheckIn{1200};
// Time for which the store keeps its history, and about the size of a page.
constexpr std::chrono::seconds kRetention{20};
constexpr std::size_t kPageBytes = std::size_t{1} << 20;
constexpr int kPageItems = 500;

// Lines with the time since the start, in a file and on standard output.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  auto Note(const std::string& text) -> void {
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", this->SecondsLocked());
    this->file << time << text << std::endl;
  }
  auto Say(const std::string& text) -> void {
    this->Note(text);
    std::cout << text << std::endl;
  }
  auto Seconds() -> double {
    const std::lock_guard lock(this->mutex);
    return this->SecondsLocked();
  }

 private:
  auto SecondsLocked() const -> double {
    return std::chrono::duration<double>(Clock::now() - this->start).count();
  }

  const Clock::time_point start = Clock::now();
  std::mutex mutex;
  std::ofstream file;
};

inline auto EncodeBase64(const std::string& bytes) -> std::string {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63] : '=';
    }
  }
  return out;
}

// Returns the value of a parameter of the query, decoded.
inline auto QueryOf(const std::string& target, const std::string& name) -> std::string {
  const auto mark = target.find('?');
  if (mark == std::string::npos) return "";
  std::istringstream query(target.substr(mark + 1));
  std::string pair;
  while (std::getline(query, pair, '&')) {
    if (!pair.starts_with(name + "=")) continue;
    std::string out;
    for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        out += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += pair[i];
      }
    }
    return out;
  }
  return "";
}

// The platform's store.
class Store {
 public:
  struct Item {
    std::string data;
    // What of the data makes it another entry: all but `call-seq`.
    std::string content;
    // The data in base64.
    std::string encoded;
    std::uint64_t revision = 0;
    bool deleted = false;
    // Time at which the entry of a silent replica is removed.
    Clock::time_point expires = Clock::time_point::max();
  };

  explicit Store(Record& record)
      : record(record),
        port(FreePort()),
        server(this->port, [this](Connection& connection) { this->Serve(connection); }) {
    this->server.Start();
    std::thread([this] { this->ExpireLoop(); }).detach();
  }

  auto Port() const -> int { return this->port; }

  // Writes a value; the return is its acknowledgement.
  auto Put(const std::string& key, const std::string& data) -> void {
    const std::lock_guard lock(this->mutex);
    this->PutLocked(key, data, data);
  }

  // Writes the value under several keys at one moment.
  auto PutAll(const std::vector<std::string>& keys, const std::string& data) -> void {
    const std::lock_guard lock(this->mutex);
    for (const auto& key : keys) this->PutLocked(key, data, data);
  }

  // A replica's check-in: the entry changes when more than `call-seq` changes. Returns false if the
  // store is away.
  auto CheckIn(const std::string& id, const std::string& data, const std::string& content) -> bool {
    const std::lock_guard lock(this->mutex);
    if (this->away) return false;
    const auto key = "servers/" + id;
    auto& item = this->items[key];
    if (item.revision == 0 || item.deleted || item.content != content) {
      this->PutLocked(key, data, content);
    }
    this->items[key].expires = Clock::now() + 3 * kCheckIn;
    return true;
  }

  auto Has(const std::string& key) -> bool {
    const std::lock_guard lock(this->mutex);
    const auto found = this->items.find(key);
    return found != this->items.end() && !found->second.deleted;
  }

  // While the store is away each call ends with its connection.
  auto SetAway(bool on) -> void {
    const std::lock_guard lock(this->mutex);
    this->away = on;
    this->changed.notify_all();
  }

  auto Copy() -> void {
    const std::lock_guard lock(this->mutex);
    this->copy = this->items;
    this->copy_revision = this->revision;
  }

  // Goes back to the copy. Its entries have the usual time until they are removed.
  auto Restore() -> void {
    const std::lock_guard lock(this->mutex);
    this->items = this->copy;
    this->revision = this->copy_revision;
    std::erase_if(this->history,
                  [this](const auto& change) { return change.first > this->revision; });
    for (auto& [key, item] : this->items) {
      if (key.starts_with("servers/")) item.expires = Clock::now() + 3 * kCheckIn;
    }
    ++this->era;
    this->away = false;
    this->changed.notify_all();
  }

  // Returns what the store holds under the prefix, for the record.
  auto Describe(const std::string& prefix) -> std::string {
    const std::lock_guard lock(this->mutex);
    std::string out =
        "era " + std::to_string(this->era) + ", revision " + std::to_string(this->revision) + ":";
    for (const auto& [key, item] : this->items) {
      if (!key.starts_with(prefix) || item.deleted) continue;
      out += "\n            " + key + " at " + std::to_string(item.revision) + " " +
             item.data.substr(0, 2000);
    }
    return out;
  }

 private:
  auto PutLocked(const std::string& key, const std::string& data, const std::string& content)
      -> void {
    auto& item = this->items[key];
    item.data = data;
    item.content = content;
    item.encoded = EncodeBase64(data);
    item.deleted = false;
    this->ChangeLocked(item);
  }

  auto ChangeLocked(Item& item) -> void {
    item.revision = ++this->revision;
    this->history.emplace_back(this->revision, Clock::now());
    this->changed.notify_all();
  }

  auto ExpireLoop() -> void {
    while (true) {
      SleepMs(20);
      const std::lock_guard lock(this->mutex);
      while (!this->history.empty() && this->history.front().second < Clock::now() - kRetention) {
        this->forgotten = this->history.front().first;
        this->history.pop_front();
      }
      if (this->away) continue;
      for (auto& [key, item] : this->items) {
        if (item.deleted || item.expires > Clock::now()) continue;
        item.deleted = true;
        this->ChangeLocked(item);
        this->record.Note("store: " + key + " is removed, its replica was silent");
      }
    }
  }

  static auto AppendItem(std::string& out, const std::string& key, const Item& item) -> void {
    const auto revision = std::to_string(item.revision);
    out.append("{\"key\":\"").append(key).append("\",\"revision\":").append(revision);
    if (item.deleted) {
      out += ",\"deleted\":true}";
      return;
    }
    out.append(",\"created\":").append(revision);
    out.append(",\"lease-id\":0,\"data\":\"").append(item.encoded).append("\"}");
  }

  // Returns all that has changed under the prefix after a revision.
  auto ListChanges(const std::string& prefix, std::uint64_t after) -> std::string {
    std::string out;
    for (const auto& [key, item] : this->items) {
      if (!key.starts_with(prefix) || item.revision <= after) continue;
      if (!out.empty()) out += ",";
      AppendItem(out, key, item);
    }
    return out;
  }

  // Returns a page of the items under the prefix after a key.
  auto ListPage(const std::string& prefix, const std::string& after) -> std::string {
    std::string out;
    int count = 0;
    for (auto entry = this->items.upper_bound(after); entry != this->items.end(); ++entry) {
      const auto& [key, item] = *entry;
      if (!key.starts_with(prefix) || item.deleted) continue;
      if (out.size() > kPageBytes || count == kPageItems) return out + "],\"truncated\":true";
      if (count++ > 0) out += ",";
      AppendItem(out, key, item);
    }
    return out + "],\"truncated\":false";
  }

  auto Answer(const std::string& target, std::string& status) -> std::string {
    std::unique_lock lock(this->mutex);
    const auto at = [this] { return ",\"at\":" + std::to_string(this->revision) + "}"; };
    if (target.starts_with("/api/kv-key?")) {
      const auto found = this->items.find(QueryOf(target, "key"));
      if (found == this->items.end() || found->second.deleted) {
        status = "404 Not Found";
        return "{}";
      }
      std::string text;
      AppendItem(text, found->first, found->second);
      text.pop_back();
      return text + at();
    }
    const auto prefix = QueryOf(target, "path-prefix");
    if (target.starts_with("/api/kv-range?")) {
      return "{\"entries\":[" + this->ListPage(prefix, QueryOf(target, "after")) + at();
    }
    const auto after = std::stoull("0" + QueryOf(target, "after"));
    const auto until = Clock::now() + Ms(std::stoll("0" + QueryOf(target, "wait-timeout-ms")));
    const auto before = this->era;
    while (true) {
      if (this->away || this->era != before) {
        status = "";
        return "";
      }
      if (after > this->revision || after < this->forgotten) {
        status = "410 Gone";
        return "{}";
      }
      const auto events = this->ListChanges(prefix, after);
      if (!events.empty() || Clock::now() >= until) return "{\"events\":[" + events + "]" + at();
      this->changed.wait_until(lock, until);
    }
  }

  auto Serve(Connection& connection) -> void {
    while (true) {
      Message request;
      if (!connection.ReadHead(request, Clock::now() + std::chrono::hours(1))) return;
      std::string status = "200 OK";
      std::uint64_t told_era = 0;
      {
        const std::lock_guard lock(this->mutex);
        if (this->away) return;
        told_era = this->era;
      }
      const auto body = this->Answer(request.Word(1), status);
      if (status.empty()) return;
      Fields fields = {{"Content-Type", "application/json"}};
      if (told_era > 0) fields.emplace_back("Store-Era", std::to_string(told_era));
      if (!connection.Send(FormatAnswer(status, fields, body))) return;
    }
  }

  Record& record;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::uint64_t revision = 10;
  // Changes that a watch can still begin after, and the last one before them.
  std::deque<std::pair<std::uint64_t, Clock::time_point>> history;
  std::uint64_t forgotten = 0;
  std::uint64_t era = 0;
  bool away = false;
  std::map<std::string, Item> copy;
  std::uint64_t copy_revision = 0;
  int port;
  Server server;
};

// A replica. Requests under /stream/ are answered with events, others after some work.
class Replica {
 public:
  struct Work {
    int events = 5;
    int event_ms = 20;
    int plain_ms = 10;
  };

  Replica(Record& record, Store& store, std::string id, std::string service, int slots, Work work)
      : record(record),
        store(store),
        id(std::move(id)),
        service(std::move(service)),
        slots(slots),
        work(work),
        port(FreePort()),
        born(std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
                 .count()),
        server(this->port, [this](Connection& connection) { this->Serve(connection); }) {
    this->server.Start();
    std::thread([this] { this->CheckInLoop(); }).detach();
  }

  auto Id() const -> const std::string& { return this->id; }

  // Partitions the replica from the store, not from the entries.
  auto SetCut(bool on) -> void { this->cut = on; }

  // Called at the end of each run with the request's id, whether the caller was still there, and
  // the time of its begin and end.
  std::function<void(const std::string& id, bool answered, Clock::time_point begin,
                     Clock::time_point end)>
      on_run;

 private:
  auto CheckInLoop() -> void {
    while (true) {
      const auto content =
          "{\"service\":\"" + this->service +
          "\",\"address\":\"127.0.0.1:" + std::to_string(this->port) +
          "\",\"zone\":\"n1\",\"version\":\"v1\",\"capacity\":" + std::to_string(this->slots) +
          ",\"state\":\"ready\",\"cold-left-ms\":0,\"born\":" + std::to_string(this->born) + "}";
      auto data = content;
      data.insert(data.size() - 1, ",\"call-seq\":" + std::to_string(++this->call_seq));
      if (!this->cut) this->store.CheckIn(this->id, data, content);
      std::this_thread::sleep_for(kCheckIn);
    }
  }

  // Works for the time; false if the caller leaves meanwhile.
  static auto WorkFor(Connection& connection, int ms) -> bool {
    const auto end = Clock::now() + Ms(ms);
    while (Clock::now() < end) {
      if (connection.IsClosed()) return false;
      SleepMs(std::min(5, ms));
    }
    return true;
  }

  auto Stream(Connection& connection, const Message& request, const Fields& fields) -> bool {
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    for (const auto& [name, value] : fields) head.append(name).append(": ").append(value) += "\r\n";
    if (!connection.Send(head + "Transfer-Encoding: chunked\r\n\r\n")) return false;
    const auto last = request.Field("Last-Event-Id");
    for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= this->work.events; ++event) {
      if (!WorkFor(connection, this->work.event_ms)) return false;
      const auto text = "id: " + std::to_string(event) + "\ndata: part\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      if (!connection.Send(size + text + "\r\n")) return false;
    }
    return connection.Send("0\r\n\r\n");
  }

  auto Serve(Connection& connection) -> void {
    while (true) {
      Message request;
      const auto until = Clock::now() + std::chrono::seconds(20);
      if (!connection.ReadHead(request, until) || !connection.ReadBody(request, until)) return;
      const auto attempt = request.Field("X-Filbertstair-Attempt-Id");
      Fields fields = {{"X-Filbertstair-Attempt-Id", attempt}, {"Keep-Alive", "timeout=10"}};
      if (request.Field("X-Filbertstair-Expect-Replica") != this->id) {
        fields.emplace_back("X-Filbertstair-Not-Executed", "1");
        if (!connection.Send(FormatAnswer("421 Misdirected Request", fields, ""))) return;
        continue;
      }
      const auto begin = Clock::now();
      fields.emplace_back("X-Filbertstair-Server-Seal", this->id + "." + attempt);
      bool answered = false;
      if (request.Word(1).starts_with("/stream/")) {
        answered = this->Stream(connection, request, fields);
      } else if (WorkFor(connection, this->work.plain_ms)) {
        answered = connection.Send(FormatAnswer("200 OK", fields, "done " + attempt));
      }
      if (this->on_run) this->on_run(attempt, answered, begin, Clock::now());
      if (!answered) return;
    }
  }

  Record& record;
  Store& store;
  std::string id;
  std::string service;
  int slots;
  Work work;
  int port;
  std::int64_t born;
  std::int64_t call_seq = 0;
  std::atomic<bool> cut = false;
  Server server;
};

// Calls an entry on a new connection.
inline auto Call(int port, const std::string& request, Ms timeout) -> Message {
  Message answer;
  const auto connection = Connect(port);
  if (connection == nullptr || !connection->Send(request)) return answer;
  const auto until = Clock::now() + timeout;
  if (connection->ReadHead(answer, until)) connection->ReadBody(answer, until);
  return answer;
}

// An entry that runs as the deploy file says, with settings as its template gives them.
class Entry {
 public:
  Entry(Record& record, std::string id, std::string directory, int store_port, int memory_mb)
      : record(record),
        id(std::move(id)),
        directory(std::move(directory)),
        store_port(store_port),
        memory_mb(memory_mb) {}
  ~Entry() { this->Kill(); }
  Entry(const Entry&) = delete;
  auto operator=(const Entry&) -> Entry& = delete;

  const int callers = FreePort();
  const int peers = FreePort();
  const int admin = FreePort();

  auto Start(const std::vector<int>& seeds) -> void {
    const auto path = this->directory + "/" + this->id + ".yaml";
    const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::ofstream out(path);
    out << "role: entry\nadmission: entry\nid: " << this->id
        << "\nregion: north\nfailure_domain: n1\n"
        << "failure_domains: [ { name: \"n1\", region: \"north\" } ]\nworkers: 1\ncores: 0.19\n"
        << "memory_mb: " << this->memory_mb << "\nlisten:\n  callers: " << at(this->callers)
        << "\n  peers: " << at(this->peers) << "\n  admin: " << at(this->admin) << "\nseeds: [";
    for (std::size_t i = 0; i < seeds.size(); ++i) out << (i > 0 ? "," : "") << at(seeds[i]);
    out << "]\nplatform: " << at(this->store_port)
        << "\ndrain_grace: 7400ms\nlog:\n  level: info\n  format: json\n";
    out.close();
    const auto log = this->directory + "/" + this->id + ".log";
    this->process = fork();
    if (this->process == 0) {
      const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(file, 1);
      dup2(file, 2);
      const char* program = "target/apps/filbertstaird/filbertstaird";
      execl(program, program, "--settings", path.c_str(), nullptr);
      _exit(127);
    }
    this->record.Note(this->id + " is started");
  }

  auto Kill() -> void {
    if (this->process <= 0) return;
    kill(this->process, SIGKILL);
    waitpid(this->process, nullptr, 0);
    this->process = 0;
    this->record.Note(this->id + " is killed");
  }

  // Returns whether the process has ended by itself.
  auto HasEnded() -> bool {
    if (this->process <= 0) return false;
    int status = 0;
    if (waitpid(this->process, &status, WNOHANG) != this->process) return false;
    this->process = 0;
    this->record.Note(this->id + " has ended by itself, status " + std::to_string(status));
    return true;
  }

  auto WaitReady(Ms timeout) -> bool {
    const auto until = Clock::now() + timeout;
    while (Clock::now() < until) {
      const auto answer = Call(this->admin, "GET /readyz HTTP/1.1\r\nHost: entry\r\n\r\n", Ms(500));
      if (answer.Status() == 200) return true;
      SleepMs(20);
    }
    return false;
  }

  // Peak of the resident memory in KB; 0 if there is no process.
  auto PeakMemoryKb() const -> std::int64_t {
    std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.starts_with("VmHWM:")) return std::stoll(line.substr(6));
    }
    return 0;
  }

  auto Id() const -> const std::string& { return this->id; }

 private:
  Record& record;
  std::string id;
  std::string directory;
  int store_port;
  int memory_mb;
  pid_t process = 0;
};

// Returns a request to an entry.
inline auto FormatRequest(const std::string& method, const std::string& path, const std::string& id,
                          const std::string& key, int deadline_ms, const Fields& more = {})
    -> std::string {
  std::string out = method + " " + path + " HTTP/1.1\r\nHost: a.example\r\n" +
                    "X-Filbertstair-Attempt-Id: " + id +
                    "\r\nX-Filbertstair-Deadline-Ms: " + std::to_string(deadline_ms) +
                    "\r\nAuthorization: Bearer " + key + "\r\n";
  for (const auto& [name, value] : more) out.append(name).append(": ").append(value) += "\r\n";
  if (method == "POST") out += "Content-Length: 0\r\n";
  return out + "\r\n";
}

// Returns the id of a client attempt.
inline auto AttemptId(const std::string& word, std::uint64_t number) -> std::string {
  std::ostringstream out;
  out << word << std::hex << 0x10000 + number;
  return out.str();
}

// Returns a route of the configuration.
inline auto FormatRoute(const std::string& prefix, const std::string& type,
                        const std::string& service, int timeout_ms, int slo_ms) -> std::string {
  const auto stream = type == "streaming";
  return "{\"name\":\"r" + prefix.substr(1, prefix.size() - 2) +
         "\",\"hostname\":\"a.example\",\"path-prefix\":\"" + prefix + "\",\"type\":\"" + type +
         "\",\"timeout-ms\":" + std::to_string(timeout_ms) +
         ",\"slo-ms\":" + std::to_string(slo_ms) + ",\"prio\":1,\"service\":\"" + service +
         "\",\"attempts\":2,\"public\":false,\"affinity\":" + (stream ? "true" : "false") +
         ",\"resumable\":" + (stream ? "true" : "false") + ",\"itl-target-ms\":250}";
}

// Returns a configuration with the services "llm" and "app" and one tenant, "team".
inline auto FormatConfig(int version, const std::vector<std::string>& routes,
                         const std::vector<std::string>& keys) -> std::string {
  const auto join = [](const std::vector<std::string>& parts, const std::string& quote) {
    std::string out;
    for (const auto& part : parts) {
      out += (out.empty() ? "" : ",") + quote;
      out.append(part).append(quote);
    }
    return out;
  };
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + join(routes, "") +
         "],\"services\":[{\"name\":\"llm\",\"health-path\":\"/healthz\",\"max-conns\":370,"
         "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"app\",\"health-path\":\"/healthz\","
         "\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
         "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
         "\"idle-timeout-ms\":15000,\"tokens-per-s\":300000},\"tenants\":[{\"name\":\"team\","
         "\"api-keys\":[" +
         join(keys, "\"") + "],\"prio\":1}]}";
}

// The surroundings of a case: its folder, a temporary one, and whether there is a disruption.
struct Lab {
  explicit Lab(const std::string& folder)
      : record(folder + "/record.txt"), trouble([] {
          const char* value = std::getenv("TROUBLE");
          return value == nullptr || std::string(value) != "0";
        }()) {
    signal(SIGPIPE, SIG_IGN);
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
    this->directory = pattern;
    this->record.Note(this->trouble ? "with the disruption" : "without the disruption");
  }

  Record record;
  bool trouble;
  std::string directory;
};

// Runs a case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
template <typename Body>
auto RunCase(int argc, char** argv, Body&& body) -> int {
  if (argc != 2) return 2;
  int result = 2;
  try {
    Lab lab(argv[1]);
    result = body(lab);
    lab.record.Say(result == 0 ? "the rule held" : result == 1 ? "the rule was broken" : "no run");
    std::error_code ignored;
    std::filesystem::remove_all(lab.directory, ignored);
  } catch (const std::exception& error) {
    std::cout << error.what() << std::endl;
  }
  std::cout.flush();
  // Threads of the stand-ins may still wait.
  _exit(result);
}

}  // namespace filbertstair::lab

#endif  // FILBERTSTAIR_REVIEW_STANDINS_3_LAB_H_
