#include "kit.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>
#include <stdexcept>

namespace filbertstair::review {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kReadBytes = 16384;
constexpr int kBacklog = 128;

auto IsSame(std::string_view a, std::string_view b) -> bool {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

auto Trim(std::string_view text) -> std::string {
  while (text.starts_with(' ')) text.remove_prefix(1);
  while (text.ends_with(' ')) text.remove_suffix(1);
  return std::string(text);
}

// Splits a head into its first line and its headers.
auto ParseHead(std::string_view head, Headers& headers) -> std::string {
  const auto first_end = std::min(head.find(kLineEnd), head.size());
  std::string first(head.substr(0, first_end));
  head.remove_prefix(std::min(head.size(), first_end + kLineEnd.size()));
  while (!head.empty()) {
    const auto end = std::min(head.find(kLineEnd), head.size());
    const auto line = head.substr(0, end);
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
      headers.emplace_back(Trim(line.substr(0, colon)), Trim(line.substr(colon + 1)));
    }
    head.remove_prefix(std::min(head.size(), end + kLineEnd.size()));
  }
  return first;
}

// Appends what can be read by `deadline`. Returns false at the end of the connection or the time.
auto ReadSome(int socket, std::string& into, Clock::time_point deadline) -> bool {
  std::array<char, kReadBytes> buffer{};
  pollfd waiter{socket, POLLIN, 0};
  const auto left = std::chrono::ceil<milliseconds>(deadline - Clock::now()).count();
  if (left <= 0 || poll(&waiter, 1, static_cast<int>(std::min<std::int64_t>(left, 1000000))) <= 0) {
    return false;
  }
  const auto size = recv(socket, buffer.data(), buffer.size(), 0);
  if (size <= 0) return false;
  into.append(buffer.data(), static_cast<std::size_t>(size));
  return true;
}

auto Forever() -> Clock::time_point { return Clock::now() + std::chrono::hours(1); }

auto SendAll(int socket, std::string_view bytes) -> bool {
  while (!bytes.empty()) {
    const auto sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

auto ToSocketAddress(int port) -> sockaddr_in {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  return out;
}

auto PortOf(std::string_view address) -> int {
  return std::stoi(std::string(address.substr(address.rfind(':') + 1)));
}

auto Listen(int port) -> int {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto address = ToSocketAddress(port);
  if (bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(socket, kBacklog) != 0) {
    close(socket);
    throw std::runtime_error("no port to listen at");
  }
  return socket;
}

auto BoundPort(int socket) -> int {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Decodes a chunked body as far as it has arrived. Returns whether it is complete.
auto Unchunk(std::string_view raw, std::string& body) -> bool {
  body.clear();
  while (true) {
    const auto end = raw.find(kLineEnd);
    if (end == std::string_view::npos) return false;
    const auto size = std::stoul(std::string(raw.substr(0, end)), nullptr, 16);
    raw.remove_prefix(end + kLineEnd.size());
    if (size == 0) return true;
    if (raw.size() < size + kLineEnd.size()) {
      body += raw.substr(0, std::min<std::size_t>(size, raw.size()));
      return false;
    }
    body += raw.substr(0, size);
    raw.remove_prefix(size + kLineEnd.size());
  }
}

auto ReadReply(int socket, Clock::time_point deadline) -> Reply {
  Reply reply;
  std::string raw;
  while (raw.find(kHeadEnd) == std::string::npos) {
    if (!ReadSome(socket, raw, deadline)) return reply;
  }
  const auto head_size = raw.find(kHeadEnd);
  const auto first = ParseHead(raw.substr(0, head_size), reply.headers);
  raw.erase(0, head_size + kHeadEnd.size());
  reply.status = std::stoi(first.substr(first.find(' ') + 1));
  if (IsSame(FindHeader(reply.headers, "Transfer-Encoding"), "chunked")) {
    while (!(reply.whole = Unchunk(raw, reply.body))) {
      if (!ReadSome(socket, raw, deadline)) return reply;
    }
    return reply;
  }
  const auto length = FindHeader(reply.headers, "Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (raw.size() < size) {
    if (!ReadSome(socket, raw, deadline)) break;
  }
  reply.body = raw.substr(0, size);
  reply.whole = reply.body.size() == size;
  return reply;
}

auto EncodeBase64(std::string_view bytes) -> std::string {
  constexpr std::string_view digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const auto count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += k <= count ? digits[group >> (18U - 6U * k) & 63U] : '=';
    }
  }
  return out;
}

// Returns a parameter of the query without decoding it; empty if it is missing.
auto FindParameter(std::string_view target, const std::string& name) -> std::string {
  auto query = target.substr(std::min(target.size(), target.find('?')));
  while (!query.empty()) {
    query.remove_prefix(1);
    const auto end = std::min(query.find('&'), query.size());
    const auto pair = query.substr(0, end);
    if (pair.starts_with(name + "=")) return std::string(pair.substr(name.size() + 1));
    query.remove_prefix(end);
  }
  return {};
}

auto ToNumber(const std::string& text) -> std::uint64_t {
  return text.empty() ? 0 : std::stoull(text);
}

auto Join(const std::vector<std::string>& items, std::string_view separator) -> std::string {
  std::string out;
  for (const auto& item : items) {
    if (!out.empty()) out += separator;
    out += item;
  }
  return out;
}

}  // namespace

auto FindHeader(const Headers& headers, std::string_view name) -> std::string {
  for (const auto& [candidate, value] : headers) {
    if (IsSame(candidate, name)) return value;
  }
  return {};
}

Connection::~Connection() { close(socket_); }

auto Connection::Send(std::string_view bytes) -> bool { return !reset_ && SendAll(socket_, bytes); }

auto Connection::Respond(int status, const Headers& headers, std::string_view body) -> bool {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
  for (const auto& [name, value] : headers) {
    out.append(name).append(": ").append(value).append(kLineEnd);
  }
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  out += body;
  return this->Send(out);
}

auto Connection::Read(Request& request) -> bool {
  while (unread_.find(kHeadEnd) == std::string::npos) {
    if (!ReadSome(socket_, unread_, Forever())) return false;
  }
  request = {};
  const auto head_size = unread_.find(kHeadEnd);
  std::istringstream first(ParseHead(unread_.substr(0, head_size), request.headers));
  first >> request.method >> request.target;
  unread_.erase(0, head_size + kHeadEnd.size());
  const std::size_t size = ToNumber(FindHeader(request.headers, "Content-Length"));
  while (unread_.size() < size) {
    if (!ReadSome(socket_, unread_, Forever())) return false;
  }
  request.body = unread_.substr(0, size);
  unread_.erase(0, size);
  return true;
}

auto Connection::IsPeerGone() const -> bool {
  char byte = 0;
  const auto size = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

auto Connection::Reset() -> void {
  reset_ = true;
  const linger option{1, 0};
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  // Wakes the thread that reads; the close that follows resets the connection.
  shutdown(socket_, SHUT_RD);
}

Server::Server(Handler handler) : handler_(std::move(handler)) { this->Start(); }

Server::~Server() {
  this->Stop();
  while (threads_ > 0) std::this_thread::sleep_for(milliseconds(1));
}

auto Server::Address() const -> std::string { return "127.0.0.1:" + std::to_string(port_); }

auto Server::Start() -> void {
  if (listener_ >= 0) return;
  const int listener = Listen(port_);
  port_ = BoundPort(listener);
  listener_ = listener;
  ++threads_;
  std::thread([this, listener] {
    this->Accept(listener);
    --threads_;
  }).detach();
}

auto Server::Stop() -> void {
  const int listener = listener_.exchange(-1);
  if (listener < 0) return;
  shutdown(listener, SHUT_RDWR);
  const std::lock_guard lock(mutex_);
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) connection->Reset();
  }
  connections_.clear();
}

auto Server::Accept(int listener) -> void {
  while (true) {
    const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) break;
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto connection = std::make_shared<Connection>(socket);
    {
      const std::lock_guard lock(mutex_);
      std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
      connections_.push_back(connection);
    }
    if (listener_ != listener) connection->Reset();
    ++threads_;
    std::thread([this, connection] {
      this->Serve(connection);
      --threads_;
    }).detach();
  }
  close(listener);
}

auto Server::Serve(const std::shared_ptr<Connection>& connection) -> void {
  Request request;
  while (connection->Read(request)) {
    handler_(*connection, request);
    if (IsSame(FindHeader(request.headers, "Connection"), "close")) return;
  }
}

Store::Store()
    : server_([this](Connection& connection, const Request& request) {
        const auto reply = this->Answer(request);
        connection.Respond(reply.status, reply.headers, reply.body);
      }) {}

auto Store::Write(const std::string& key, const Item& item) -> void {
  now_.items[key] = item;
  now_.history.push_back({item.revision, key, item, Clock::now()});
  changed_.notify_all();
}

auto Store::ForgetOld() -> void {
  constexpr seconds retention{20};
  const auto now = Clock::now();
  while (!now_.history.empty() && now - now_.history.front().written_at > retention) {
    now_.forgotten = now_.history.front().revision;
    now_.history.pop_front();
  }
}

auto Store::Put(const std::string& key, const std::string& value) -> void {
  const std::lock_guard lock(mutex_);
  const auto& known = now_.items[key];
  const auto revision = ++now_.revision;
  const auto created = known.created == 0 || known.deleted ? revision : known.created;
  this->Write(key, {value, revision, created, false});
}

auto Store::Delete(const std::string& key) -> void {
  const std::lock_guard lock(mutex_);
  this->Write(key, {"", ++now_.revision, 0, true});
}

auto Store::SetAway(bool away) -> void {
  if (away) {
    server_.Stop();
  } else {
    server_.Start();
  }
}

auto Store::Copy() -> void {
  const std::lock_guard lock(mutex_);
  copy_ = now_;
}

auto Store::Restore() -> void {
  const std::lock_guard lock(mutex_);
  now_ = copy_;
  ++era_;
}

auto Store::Encode(const std::string& key, const Item& item) -> std::string {
  std::ostringstream out;
  out << R"({"key":")" << key << R"(","revision":)" << item.revision;
  if (item.deleted) {
    out << R"(,"deleted":true})";
  } else {
    out << R"(,"data":")" << EncodeBase64(item.value) << R"(","created":)" << item.created
        << R"(,"lease-id":0})";
  }
  return out.str();
}

// Returns the status, and the body for status 200.
auto Store::Watch(const std::string& target, std::string& body) -> int {
  const auto prefix = FindParameter(target, "path-prefix");
  const auto after = ToNumber(FindParameter(target, "after"));
  const auto end = Clock::now() + milliseconds(ToNumber(FindParameter(target, "wait-timeout-ms")));
  std::unique_lock lock(mutex_);
  const auto era = era_;
  while (true) {
    this->ForgetOld();
    if (era != era_ || after > now_.revision || after < now_.forgotten) return 410;
    std::vector<std::string> events;
    for (const auto& change : now_.history) {
      if (change.revision <= after || !change.key.starts_with(prefix)) continue;
      events.push_back(Encode(change.key, change.item));
    }
    if (!events.empty() || Clock::now() >= end) {
      body =
          R"({"events":[)" + Join(events, ",") + R"(],"at":)" + std::to_string(now_.revision) + "}";
      return 200;
    }
    changed_.wait_until(lock, end);
  }
}

auto Store::Answer(const Request& request) -> Reply {
  int status = 404;
  std::string body = "{}";
  int era = 0;
  if (request.target.starts_with("/api/kv-watch")) {
    status = this->Watch(request.target, body);
  }
  {
    const std::lock_guard lock(mutex_);
    era = era_;
    const auto at = R"("at":)" + std::to_string(now_.revision) + "}";
    if (request.target.starts_with("/api/kv-key")) {
      const auto key = FindParameter(request.target, "key");
      const auto found = now_.items.find(key);
      if (found != now_.items.end() && !found->second.deleted) {
        body = Encode(key, found->second);
        body.back() = ',';
        body += at;
        status = 200;
      }
    } else if (request.target.starts_with("/api/kv-range")) {
      std::vector<std::string> list;
      const auto prefix = FindParameter(request.target, "path-prefix");
      for (const auto& [key, item] : now_.items) {
        if (key.starts_with(prefix) && !item.deleted) list.push_back(Encode(key, item));
      }
      body = R"({"entries":[)" + Join(list, ",") + R"(],"truncated":false,)" + at;
      status = 200;
    }
  }
  Headers headers = {{"Content-Type", "application/json"}};
  headers.emplace_back("Store-Era", std::to_string(era));
  return {status, headers, body, true};
}

Process::Process(const std::vector<std::string>& command, const std::string& log) {
  std::vector<char*> words;
  words.reserve(command.size() + 1);
  for (const auto& word : command) words.push_back(const_cast<char*>(word.c_str()));
  words.push_back(nullptr);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("no process could be started");
  if (pid_ > 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(kNotRun);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execv(words.front(), words.data());
  _exit(kNotRun);
}

Process::~Process() { this->Kill(); }

auto Process::Signal(int signal) const -> void {
  if (pid_ > 0) kill(pid_, signal);
}

auto Process::Kill() -> void {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

auto Process::IsRunning() -> bool {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  pid_ = -1;
  return false;
}

auto Process::StatusKb(const std::string& name) const -> std::uint64_t {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with(name + ":")) return std::stoull(line.substr(name.size() + 1));
  }
  return 0;
}

auto StartEntry(const EntrySpec& spec, const std::filesystem::path& folder)
    -> std::unique_ptr<Process> {
  const auto path = (folder / (spec.id + ".yaml")).string();
  std::ofstream(path) << "role: entry\nadmission: entry\nid: " << spec.id
                      << "\nregion: " << spec.region << "\nfailure_domain: " << spec.zone
                      << "\nfailure_domains: [{ name: \"north-cr\", region: \"north\" }, { name: "
                         "\"central-ay\", region: \"central\" }, { name: \"south-sk\", region: "
                         "\"south\" }]\nworkers: 1\ncores: "
                      << spec.cores << "\nmemory_mb: " << spec.memory_mb
                      << "\nlisten:\n  callers: \"" << spec.front << "\"\n  peers: \"" << spec.peers
                      << "\"\n  admin: \"" << spec.readiness << "\"\nseeds: ["
                      << Join(spec.seeds, ",") << "]\nplatform: \"" << spec.store
                      << "\"\ndrain_grace: 7400ms\nlog:\n  level: info\n  format: json\n";
  const std::vector<std::string> command = {"target/apps/filbertstaird/filbertstaird", "--settings",
                                            path};
  return std::make_unique<Process>(command, (folder / (spec.id + ".log")).string());
}

auto FreeAddress() -> std::string {
  // Each address is given out once, also while nothing listens there yet.
  static std::set<int> used;
  while (true) {
    const int socket = Listen(0);
    const int port = BoundPort(socket);
    close(socket);
    if (used.insert(port).second) return "127.0.0.1:" + std::to_string(port);
  }
}

auto OpenAndSend(const std::string& address, std::string_view bytes) -> int {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto target = ToSocketAddress(PortOf(address));
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0 ||
      !SendAll(socket, bytes)) {
    close(socket);
    return -1;
  }
  return socket;
}

auto Format(const Request& request) -> std::string {
  std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) {
    out.append(name).append(": ").append(value).append(kLineEnd);
  }
  if (!request.body.empty()) {
    out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return out + "\r\n" + request.body;
}

auto Exchange(const std::string& address, const Request& request, milliseconds timeout) -> Reply {
  const int socket = OpenAndSend(address, Format(request));
  if (socket < 0) return {};
  auto reply = ReadReply(socket, Clock::now() + timeout);
  close(socket);
  return reply;
}

auto ExchangeOn(int socket, const Request& request, milliseconds timeout) -> Reply {
  if (!SendAll(socket, Format(request))) return {};
  return ReadReply(socket, Clock::now() + timeout);
}

auto KeptCallers::Start(const std::vector<std::string>& fronts, const std::string& path, int count)
    -> void {
  for (const auto& front : fronts) {
    for (int i = 0; i < count; ++i) {
      threads_.emplace_back([this, front, path] { this->Call(front, path); });
    }
  }
}

KeptCallers::~KeptCallers() { this->CountLost(); }

auto KeptCallers::NoteRun(const std::string& id) -> void {
  const std::lock_guard lock(mutex_);
  runs_.insert(id);
}

auto KeptCallers::CountLost() -> std::map<std::string, int> {
  ending_ = true;
  for (auto& thread : threads_) thread.join();
  threads_.clear();
  const std::lock_guard lock(mutex_);
  std::map<std::string, int> lost;
  for (const auto& [front, ids] : unanswered_) {
    for (const auto& id : ids) lost[front] += runs_.contains(id) ? 1 : 0;
  }
  return lost;
}

auto KeptCallers::Call(const std::string& front, const std::string& path) -> void {
  constexpr milliseconds timeout{3000};
  int socket = -1;
  bool kept = false;
  while (!ending_) {
    if (socket < 0) {
      socket = OpenAndSend(front, "");
      kept = false;
    }
    std::ostringstream id;
    id << std::hex << 0x51a7e00000000000 + ++last_id_;
    const auto sent = Clock::now();
    const auto reply = ExchangeOn(socket,
                                  {"POST",
                                   path,
                                   {{"Host", kHost},
                                    {"X-Filbertstair-Attempt-Id", id.str()},
                                    {"X-Filbertstair-Deadline-Ms", "2000"}},
                                   "once"},
                                  timeout);
    if (reply.status != 0 && reply.whole) {
      ++answered_;
      kept = true;
      if (!IsSame(FindHeader(reply.headers, "Connection"), "close")) continue;
    } else if (kept && reply.status == 0 && Clock::now() - sent < timeout) {
      const std::lock_guard lock(mutex_);
      unanswered_[front].push_back(id.str());
    }
    close(socket);
    socket = -1;
    std::this_thread::sleep_for(milliseconds(100));
  }
  if (socket >= 0) close(socket);
}

auto AwaitReady(const std::string& readiness, milliseconds timeout) -> bool {
  const auto end = Clock::now() + timeout;
  const Request question{"GET", "/readyz", {{"Host", readiness}}, ""};
  while (Clock::now() < end) {
    if (Exchange(readiness, question, seconds(1)).status == 200) return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

Record::Record(const std::string& path) : out_(path) {
  if (!out_) throw std::runtime_error("no record can be written at " + path);
}

auto Record::Add(const std::string& line) -> void {
  const std::lock_guard lock(mutex_);
  const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
  out_ << ms << " ms: " << line << std::endl;
}

auto ReadOptions(int argc, char** argv) -> Options {
  Options options;
  options.record = argc > 1 ? argv[1] : "record.txt";
  const char* trouble = std::getenv("TROUBLE");
  options.trouble = trouble == nullptr || std::string_view(trouble) != "0";
  return options;
}

auto RunCase(const Options& options,
             const std::function<int(Record&, const std::filesystem::path&)>& run) -> int {
  try {
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder");
    const std::filesystem::path folder = name;
    Record record(options.record);
    record.Add(options.trouble ? "with the disruption" : "without the disruption");
    int code = kNotRun;
    try {
      code = run(record, folder);
    } catch (const std::exception& error) {
      record.Add(std::string("could not run: ") + error.what());
    }
    record.Add(code == kHeld ? "HELD" : code == kBroken ? "BROKEN" : "NOT RUN");
    if (std::getenv("KEEP_FOLDER") == nullptr) std::filesystem::remove_all(folder);
    return code;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kNotRun;
  }
}

auto RouteJson(const std::string& prefix, const std::string& type, const std::string& service,
               bool open) -> std::string {
  const bool streaming = type == "streaming";
  std::ostringstream out;
  out << R"({"name":"r-)" << service << prefix.substr(1, prefix.size() - 2) << R"(","hostname":")"
      << kHost << R"(","path-prefix":")" << prefix << R"(","type":")" << type
      << R"(","timeout-ms":)" << (streaming ? 15000 : 1000) << R"(,"slo-ms":)"
      << (streaming ? 1000 : 400) << R"(,"prio":1,"service":")" << service << R"(","attempts":)"
      << (type == "non_idempotent" ? 1 : 2) << R"(,"public":)" << (open ? "true" : "false")
      << R"(,"affinity":)" << (streaming ? "true" : "false") << R"(,"resumable":)"
      << (streaming ? "true" : "false") << R"(,"itl-target-ms":250})";
  return out.str();
}

auto ConfigJson(int version, const std::vector<std::string>& routes,
                const std::vector<std::string>& services, const std::vector<std::string>& keys)
    -> std::string {
  std::vector<std::string> service_list;
  service_list.reserve(services.size());
  for (const auto& service : services) {
    service_list.push_back(R"({"name":")" + service +
                           R"(","health-path":"/healthz","max-conns":370})");
  }
  std::vector<std::string> key_list;
  key_list.reserve(keys.size());
  for (const auto& key : keys) key_list.push_back('"' + key + '"');
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + Join(routes, ",") +
         R"(],"services":[)" + Join(service_list, ",") +
         R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
         R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)"
         R"("tenants":[{"name":"team","api-keys":[)" +
         Join(key_list, ",") + R"(],"prio":1}]})";
}

auto ReplicaJson(const std::string& service, const std::string& address, const std::string& zone,
                 int capacity) -> std::string {
  return R"({"service":")" + service + R"(","address":")" + address + R"(","zone":")" + zone +
         R"(","version":"v1","capacity":)" + std::to_string(capacity) +
         R"(,"state":"ready","cold-left-ms":0,"call-seq":4,"born":1765080000000})";
}

}  // namespace filbertstair::review
