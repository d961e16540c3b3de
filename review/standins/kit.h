#ifndef FILBERTSTAIR_REVIEW_STANDINS_KIT_H_
#define FILBERTSTAIR_REVIEW_STANDINS_KIT_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

// Stand-ins for callers, replicas and the platform's store, and a runner for entries. Everything
// listens on loopback; the entries are separate processes, the stand-ins threads of the caller.
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline auto SleepMs(int ms) -> void { std::this_thread::sleep_for(milliseconds(ms)); }

// Writes lines with the time since the start to the record of the case.
class Record {
 public:
  explicit Record(const std::string& path) : out(path) {}

  auto Line(const std::string& text) -> void {
    const std::lock_guard lock(this->mutex);
    const auto ms =
        std::chrono::duration_cast<milliseconds>(Clock::now() - this->started_at).count();
    this->out << ms << ' ' << text << std::endl;
  }

  auto NowMs() const -> std::int64_t {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - this->started_at).count();
  }

 private:
  std::mutex mutex;
  std::ofstream out;
  const Clock::time_point started_at = Clock::now();
};

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
  // Request line or status line; empty if the peer closed the connection.
  std::string first;
  Headers headers;
  std::string body;
  // Whether the end of the message was marked and reached.
  bool complete = false;
};

inline auto Lower(std::string text) -> std::string {
  for (auto& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

inline auto Find(const Headers& headers, const std::string& name) -> std::string {
  for (const auto& [key, value] : headers) {
    if (Lower(key) == Lower(name)) return value;
  }
  return {};
}

inline auto Target(const Message& request) -> std::string {
  std::istringstream words(request.first);
  std::string method;
  std::string target;
  words >> method >> target;
  return target;
}

inline auto Status(const Message& response) -> int {
  std::istringstream words(response.first);
  std::string version;
  int status = 0;
  words >> version >> status;
  return status;
}

inline auto Loopback(int port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline auto AddressOf(int port) -> std::string { return "127.0.0.1:" + std::to_string(port); }

// A connection with blocking calls that end after `timeout`.
class Connection {
 public:
  explicit Connection(int fd) : fd(fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;
  ~Connection() { this->Close(); }

  static auto Open(int port) -> std::shared_ptr<Connection> {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = Loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      close(fd);
      return nullptr;
    }
    return std::make_shared<Connection>(fd);
  }

  auto Send(std::string_view bytes) -> bool {
    while (!bytes.empty()) {
      const auto sent = send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  // Returns whether more bytes arrived before the deadline.
  auto Fill() -> bool {
    pollfd wait{this->fd, POLLIN, 0};
    const auto left =
        std::chrono::duration_cast<milliseconds>(this->deadline - Clock::now()).count();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) {
      this->timed_out = true;
      return false;
    }
    std::string piece(65536, '\0');
    const auto size = recv(this->fd, piece.data(), piece.size(), 0);
    this->was_reset = size < 0;
    if (size <= 0) return false;
    this->buffer.append(piece, 0, static_cast<std::size_t>(size));
    return true;
  }

  auto ReadLine(std::string& line) -> bool {
    auto end = this->buffer.find("\r\n");
    while (end == std::string::npos) {
      if (!this->Fill()) return false;
      end = this->buffer.find("\r\n");
    }
    line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return true;
  }

  auto ReadBytes(std::size_t size, std::string& out) -> bool {
    while (this->buffer.size() < size) {
      if (!this->Fill()) break;
    }
    const auto got = std::min(size, this->buffer.size());
    out.append(this->buffer, 0, got);
    this->buffer.erase(0, got);
    return got == size;
  }

  // Reads a request or, with `response`, an answer.
  auto Read(bool response, milliseconds timeout) -> Message {
    this->deadline = Clock::now() + timeout;
    this->timed_out = false;
    Message message;
    if (!this->ReadLine(message.first)) {
      message.first.clear();
      return message;
    }
    std::string line;
    while (true) {
      if (!this->ReadLine(line)) return message;
      if (line.empty()) break;
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.headers.emplace_back(line.substr(0, colon), value);
    }
    const auto length = Find(message.headers, "Content-Length");
    if (Lower(Find(message.headers, "Transfer-Encoding")) == "chunked") {
      message.complete = this->ReadChunks(message.body);
    } else if (!length.empty()) {
      message.complete = this->ReadBytes(std::stoul(length), message.body);
    } else if (response) {
      while (this->Fill()) {
      }
      message.body = std::exchange(this->buffer, {});
      message.complete = !this->timed_out && !this->was_reset;
    } else {
      message.complete = true;
    }
    return message;
  }

  // Returns whether the peer has closed the connection.
  auto IsClosed() const -> bool {
    char byte = 0;
    const auto size = recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  // Ends the connection for the peer; may be called from another thread.
  auto Abort() const -> void { shutdown(this->fd, SHUT_RDWR); }

  auto Reset() -> void {
    const linger option{1, 0};
    setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    this->Close();
  }

  auto Close() -> void {
    if (this->fd >= 0) close(std::exchange(this->fd, -1));
  }

  auto TimedOut() const -> bool { return this->timed_out; }

 private:
  auto ReadChunks(std::string& body) -> bool {
    std::string line;
    while (this->ReadLine(line)) {
      const auto size = std::stoul("0" + line, nullptr, 16);
      if (size == 0) return this->ReadLine(line);
      if (!this->ReadBytes(size, body) || !this->ReadLine(line)) return false;
    }
    return false;
  }

  int fd;
  std::string buffer;
  Clock::time_point deadline;
  bool timed_out = false;
  bool was_reset = false;
};

using Serve = std::function<void(const std::shared_ptr<Connection>&)>;

// Accepts connections on a free loopback port, each on its own thread.
class Listener {
 public:
  explicit Listener(Serve serve) : fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    auto address = Loopback(0);
    socklen_t size = sizeof(address);
    if (bind(this->fd, reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
        listen(this->fd, 256) != 0 ||
        getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      throw std::runtime_error("cannot listen");
    }
    this->port = ntohs(address.sin_port);
    std::thread([fd = this->fd, serve = std::move(serve)] {
      while (true) {
        const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) continue;
        std::thread([serve, connection = std::make_shared<Connection>(accepted)] {
          serve(connection);
        }).detach();
      }
    }).detach();
  }

  auto Port() const -> int { return this->port; }

 private:
  int fd;
  int port = 0;
};

// Returns a port that was free a moment ago.
inline auto FreePort() -> int {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = Loopback(0);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("no free port");
  }
  close(fd);
  return ntohs(address.sin_port);
}

inline auto Base64(const std::string& text) -> std::string {
  constexpr std::string_view digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = bits << 8U | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j > text.size() ? '=' : digits[bits >> (18 - 6 * j) & 63U];
    }
  }
  return out;
}

inline auto Answer(int status, const std::string& body, const std::string& headers = "")
    -> std::string {
  return "HTTP/1.1 " + std::to_string(status) +
         " x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

// The platform's store: reads and watches by the entries, writes by the test, which stands for the
// operator and for the replicas. The return of Put is the store's acknowledgement.
class Store {
 public:
  Store() : listener([this](const auto& connection) { this->Serve(connection); }) {}

  auto Port() const -> int { return this->listener.Port(); }

  auto Put(const std::string& key, const std::string& value) -> void {
    const std::lock_guard lock(this->mutex);
    this->items[key] = {value, ++this->revision, false};
    this->changed.notify_all();
  }

  auto Delete(const std::string& key) -> void {
    const std::lock_guard lock(this->mutex);
    this->items[key] = {"", ++this->revision, true};
    this->changed.notify_all();
  }

  // Decides how a call is treated before it is answered: false leaves it without an answer.
  std::function<bool(const std::string& target)> gate = [](const std::string&) { return true; };

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
  };

  static auto Query(const std::string& target, const std::string& name) -> std::string {
    auto at = target.find(name + "=");
    if (at == std::string::npos) return {};
    at += name.size() + 1;
    return target.substr(at, target.find('&', at) - at);
  }

  static auto Json(const std::string& key, const Item& item) -> std::string {
    const auto head = R"("key":")" + key + R"(","revision":)" + std::to_string(item.revision);
    if (item.deleted) return "{" + head + R"(,"deleted":true})";
    return "{" + head + R"(,"created":)" + std::to_string(item.revision) +
           R"(,"lease-id":0,"data":")" + Base64(item.value) + R"("})";
  }

  auto List(const std::string& prefix, std::uint64_t after, bool with_deleted) const
      -> std::string {
    std::string out;
    for (const auto& [key, item] : this->items) {
      if (!key.starts_with(prefix) || item.revision <= after) continue;
      if (item.deleted && !with_deleted) continue;
      out += (out.empty() ? "" : ",") + Json(key, item);
    }
    return out;
  }

  auto Reply(const std::string& target) -> std::string {
    std::unique_lock lock(this->mutex);
    const auto at = [&] { return R"("at":)" + std::to_string(this->revision); };
    if (target.starts_with("/api/kv-key")) {
      const auto found = this->items.find(Query(target, "key"));
      if (found == this->items.end()) return Answer(404, "{" + at() + "}");
      auto text = Json(found->first, found->second);
      text.pop_back();
      return Answer(200, text + "," + at() + "}");
    }
    const auto prefix = Query(target, "path-prefix");
    if (target.starts_with("/api/kv-range")) {
      return Answer(
          200, R"({"entries":[)" + List(prefix, 0, false) + R"(],"truncated":false,)" + at() + "}");
    }
    const auto after = std::stoull("0" + Query(target, "after"));
    const milliseconds hold(std::stoi("0" + Query(target, "wait-timeout-ms")));
    this->changed.wait_for(lock, hold, [&] { return !this->List(prefix, after, true).empty(); });
    return Answer(200, R"({"events":[)" + List(prefix, after, true) + "]," + at() + "}");
  }

  auto Serve(const std::shared_ptr<Connection>& connection) -> void {
    while (true) {
      const auto request = connection->Read(false, std::chrono::hours(1));
      if (request.first.empty()) return;
      const auto target = Target(request);
      if (!this->gate(target) || !connection->Send(this->Reply(target))) return;
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::uint64_t revision = 10;
  Listener listener;
};

// A replica: checks for whom a request is meant, counts its runs, and leaves the answer to
// `answer`, which returns false to end the connection.
class Replica {
 public:
  using Answerer =
      std::function<bool(Replica& replica, Connection& connection, const Message& request)>;

  Replica(std::string id, std::string service, Answerer answer)
      : id(std::move(id)),
        service(std::move(service)),
        answer(std::move(answer)),
        listener([this](const auto& connection) { this->Serve(*connection); }) {}

  auto Listing(const std::string& state = "ready") const -> std::string {
    return R"({"service":")" + this->service + R"(","address":")" +
           AddressOf(this->listener.Port()) +
           R"(","zone":"north-cr","version":"1","capacity":16,"state":")" + state +
           R"(","cold-left-ms":0,"call-seq":0,"born":1764900000000})";
  }

  auto Key() const -> std::string { return "servers/" + this->id; }
  auto Id() const -> const std::string& { return this->id; }

  // Headers of every answer of this replica to the request.
  auto Marks(const Message& request) const -> std::string {
    return "X-Filbertstair-Attempt-Id: " + Find(request.headers, "X-Filbertstair-Attempt-Id") +
           "\r\nX-Filbertstair-Server-Seal: " + this->id +
           "\r\nX-Filbertstair-Replica-Load: 1,0,16\r\n";
  }

  // Called for each request that the replica begins to run.
  std::function<void(const Message& request)> on_run = [](const Message&) {};

 private:
  auto Serve(Connection& connection) -> void {
    while (true) {
      const auto request = connection.Read(false, std::chrono::hours(1));
      if (request.first.empty() || !request.complete) return;
      if (Find(request.headers, "X-Filbertstair-Expect-Replica") != this->id) {
        if (!connection.Send(Answer(421, ""))) return;
        continue;
      }
      this->on_run(request);
      if (!this->answer(*this, connection, request)) return;
    }
  }

  std::string id;
  std::string service;
  Answerer answer;
  Listener listener;
};

// Answers with a short body at once.
inline auto AnswerPlainly(Replica& replica, Connection& connection, const Message& request)
    -> bool {
  return connection.Send(Answer(200, "done by " + replica.Id(), replica.Marks(request)));
}

struct RouteSpec {
  std::string prefix;
  std::string type;
  std::string service;
  int timeout_ms = 5000;
  int objective_ms = 500;
  int attempts = 1;
  bool is_public = false;
  bool resumable = false;
};

inline auto RouteJson(const RouteSpec& route) -> std::string {
  const auto flag = [](bool value) { return std::string(value ? "true" : "false"); };
  return R"({"name":"r)" + route.prefix + R"(","hostname":"a.example","path-prefix":")" +
         route.prefix + R"(","type":")" + route.type + R"(","service":")" + route.service +
         R"(","timeout-ms":)" + std::to_string(route.timeout_ms) + R"(,"slo-ms":)" +
         std::to_string(route.objective_ms) + R"(,"attempts":)" + std::to_string(route.attempts) +
         R"(,"prio":1,"affinity":false,"itl-target-ms":250,"public":)" + flag(route.is_public) +
         R"(,"resumable":)" + flag(route.resumable) + "}";
}

// Keys by the name of the tenant that holds them.
using Tenants = std::map<std::string, std::vector<std::string>>;

inline auto ConfigJson(int version, const std::vector<RouteSpec>& routes,
                       const std::vector<std::string>& services, const Tenants& tenants)
    -> std::string {
  const auto join = [](const auto& list, const auto& format) {
    std::string out;
    for (const auto& item : list) out += (out.empty() ? "" : ",") + format(item);
    return out;
  };
  const auto quote = [](const std::string& text) { return "\"" + text + "\""; };
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + join(routes, RouteJson) +
         R"(],"services":[)" +
         join(services,
              [](const std::string& name) {
                return R"({"name":")" + name + R"(","max-conns":110,"health-path":"/healthz"})";
              }) +
         R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
         R"("header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[)" +
         join(tenants,
              [&](const auto& tenant) {
                return R"({"name":")" + tenant.first + R"(","prio":1,"api-keys":[)" +
                       join(tenant.second, quote) + "]}";
              }) +
         "]}";
}

inline auto ReadFile(const std::string& path) -> std::string {
  std::ifstream in(path);
  if (!in) throw std::runtime_error("cannot read " + path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// An entry of the deploy file as a separate process, with settings made from deploy/entry.yaml. Has
// to be used from the root of the repository after the build of the deploy file.
class Entry {
 public:
  Entry(std::string name, std::filesystem::path directory, int platform, std::string seeds = "")
      : name(std::move(name)), directory(std::move(directory)) {
    this->settings = ReadFile("deploy/entry.yaml");
    const auto peers = AddressOf(this->peers_port);
    this->Fill("{{#zones}} { name: \"{{@}}\", region: \"{{.}}\" }{{,}}{{/zones}}",
               "{ name: \"north-cr\", region: \"north\" }");
    this->Fill("{{node-name}}", this->name);
    this->Fill("{{region}}", "north");
    this->Fill("{{zone}}", "north-cr");
    this->Fill("{{limits.cpu-quota}}", "0.19");
    this->Fill("{{limits.ram-mb}}", "260");
    this->Fill("{{listen.front}}", AddressOf(this->front_port));
    this->Fill("{{listen.admin}}", peers);
    this->Fill("{{listen.readiness}}", AddressOf(this->admin_port));
    this->Fill("{{seed-nodes}}", seeds.empty() ? peers : seeds);
    this->Fill("{{platform.address}}", AddressOf(platform));
    if (this->settings.find("{{") != std::string::npos) {
      throw std::runtime_error("unknown placeholder in deploy/entry.yaml");
    }
    std::ofstream(this->SettingsPath()) << this->settings;
    this->Start();
  }
  Entry(const Entry&) = delete;
  auto operator=(const Entry&) -> Entry& = delete;
  ~Entry() { this->Kill(); }

  auto Start() -> void {
    const std::string program = "target/apps/filbertstaird/filbertstaird";
    const auto path = this->SettingsPath();
    const auto log = (this->directory / (this->name + ".log")).string();
    const int out = open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, 0644);
    const auto parent = getpid();
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(127);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      execl(program.c_str(), program.c_str(), "--settings", path.c_str(), nullptr);
      _exit(127);
    }
    close(out);
  }

  auto Signal(int number) const -> void {
    if (this->pid > 0) kill(this->pid, number);
  }

  // Ends the process and waits for it.
  auto Kill() -> void {
    this->Signal(SIGKILL);
    this->Wait();
  }

  auto Wait() -> void {
    if (this->pid > 0) waitpid(std::exchange(this->pid, -1), nullptr, 0);
  }

  // Returns whether the process has ended by itself.
  auto HasEnded() -> bool {
    if (this->pid <= 0) return true;
    if (waitpid(this->pid, nullptr, WNOHANG) != this->pid) return false;
    this->pid = -1;
    return true;
  }

  // Resident memory in MB, as the kernel reports it.
  auto MemoryMb() const -> int {
    std::ifstream in("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with("VmRSS:")) return std::stoi(line.substr(6)) / 1024;
    }
    return 0;
  }

  auto IsReady() const -> bool {
    const auto connection = Connection::Open(this->admin_port);
    if (connection == nullptr || !connection->Send("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")) {
      return false;
    }
    return Status(connection->Read(true, milliseconds(1000))) == 200;
  }

  auto AwaitReady(int seconds = 10) const -> void {
    for (int i = 0; i < seconds * 20; ++i) {
      if (this->IsReady()) return;
      SleepMs(50);
    }
    throw std::runtime_error(this->name + " is not ready");
  }

  auto Front() const -> int { return this->front_port; }
  auto Peers() const -> std::string { return AddressOf(this->peers_port); }
  auto Name() const -> const std::string& { return this->name; }
  auto Pid() const -> int { return this->pid; }

 private:
  auto SettingsPath() const -> std::string {
    return (this->directory / (this->name + ".yaml")).string();
  }

  auto Fill(const std::string& placeholder, const std::string& value) -> void {
    for (auto at = this->settings.find(placeholder); at != std::string::npos;
         at = this->settings.find(placeholder)) {
      this->settings.replace(at, placeholder.size(), value);
    }
  }

  std::string name;
  std::filesystem::path directory;
  std::string settings;
  int front_port = FreePort();
  int peers_port = FreePort();
  int admin_port = FreePort();
  pid_t pid = -1;
};

// Makes a stand-in that lasts until the process ends, since its threads refer to it.
template <typename T, typename... Arguments>
auto Keep(Arguments&&... arguments) -> T& {
  auto kept = std::make_unique<T>(std::forward<Arguments>(arguments)...);
  return *kept.release();
}

// A directory that is removed at the end.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr) throw std::runtime_error("no temporary directory");
    this->path = path;
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  auto operator=(const TemporaryDirectory&) -> TemporaryDirectory& = delete;
  ~TemporaryDirectory() {
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(this->path, ignored);
  }

  auto Path() const -> const std::filesystem::path& { return this->path; }

 private:
  std::filesystem::path path;
};

struct CallSpec {
  std::string id;
  std::string target;
  std::string key = {};
  std::string body = {};
  int deadline_ms = 5000;
  std::string headers = {};
  std::string method = "POST";
};

inline auto RequestText(const CallSpec& call) -> std::string {
  auto text = call.method + " " + call.target + " HTTP/1.1\r\nHost: a.example\r\n" +
              "X-Filbertstair-Attempt-Id: " + call.id +
              "\r\nX-Filbertstair-Deadline-Ms: " + std::to_string(call.deadline_ms) + "\r\n" +
              call.headers;
  if (!call.key.empty()) text += "Authorization: Bearer " + call.key + "\r\n";
  if (call.method == "POST") {
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  }
  return text + "\r\n" + call.body;
}

// Sends one request on a new connection and returns the answer.
inline auto Request(int port, const CallSpec& call) -> Message {
  const auto connection = Connection::Open(port);
  if (connection == nullptr || !connection->Send(RequestText(call))) return {};
  return connection->Read(true, milliseconds(call.deadline_ms + 1000));
}

inline auto HasTrouble() -> bool {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

// Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
inline auto RunCase(int argc, char** argv, const std::function<bool(Record& record)>& run) -> int {
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " RECORD\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  int result = 2;
  auto& record = Keep<Record>(argv[1]);
  try {
    const bool broken = run(record);
    record.Line(broken ? "the rule was broken" : "the rule held");
    result = broken ? 1 : 0;
  } catch (const std::exception& error) {
    std::cerr << "could not run: " << error.what() << '\n';
  }
  std::_Exit(result);
}

}  // namespace review

#endif  // FILBERTSTAIR_REVIEW_STANDINS_KIT_H_
