#ifndef FILBERTSTAIR_REVIEW_STANDINS_2_KIT_H_
#define FILBERTSTAIR_REVIEW_STANDINS_2_KIT_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

// Stand-ins for the platform's store, replicas and clients on loopback, and the daemon as a process
// of its own. Each connection has a thread; everything blocks.
namespace filbertstair::review {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// Returns the value of the header, ignoring case in the name; empty if there is none.
auto FindHeader(const Headers& headers, std::string_view name) -> std::string;

struct Request {
  std::string method = "GET";
  std::string target;
  Headers headers;
  std::string body;
};

struct Reply {
  // 0 if no head was received.
  int status = 0;
  Headers headers;
  std::string body;
  // Whether the body was received to its end.
  bool whole = false;
};

// An open connection of a server.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  // Sends bytes. Returns false if the peer has gone.
  auto Send(std::string_view bytes) -> bool;
  // Sends a response with a length.
  auto Respond(int status, const Headers& headers, std::string_view body) -> bool;
  // Reads a request. Returns false at the end of the connection.
  auto Read(Request& request) -> bool;
  // Returns whether the peer has closed the connection.
  auto IsPeerGone() const -> bool;
  // Resets the connection, also from another thread.
  auto Reset() -> void;

 private:
  int socket_;
  std::string unread_;
  std::atomic<bool> reset_ = false;
};

using Handler = std::function<void(Connection&, const Request&)>;

// HTTP server on a loopback port of its own.
class Server {
 public:
  explicit Server(Handler handler);
  ~Server();
  Server(const Server&) = delete;
  auto operator=(const Server&) -> Server& = delete;

  auto Address() const -> std::string;
  // Closes the listener and resets all connections, as a process that is killed.
  auto Stop() -> void;
  // Listens again at the same address.
  auto Start() -> void;

 private:
  auto Accept(int listener) -> void;
  auto Serve(const std::shared_ptr<Connection>& connection) -> void;

  Handler handler_;
  int port_ = 0;
  std::atomic<int> listener_ = -1;
  std::mutex mutex_;
  std::list<std::weak_ptr<Connection>> connections_;
  std::atomic<int> threads_ = 0;
};

// The platform's store.
class Store {
 public:
  Store();

  auto Address() const -> std::string { return server_.Address(); }
  auto Put(const std::string& key, const std::string& value) -> void;
  auto Delete(const std::string& key) -> void;
  // While away, the store accepts no connection, and those that were open have been reset.
  auto SetAway(bool away) -> void;
  // Keeps a copy of the contents.
  auto Copy() -> void;
  // Goes back to the copy: revisions are given out again, and the era rises.
  auto Restore() -> void;
  // Returns the response to a call, also for a listener of a case.
  auto Answer(const Request& request) -> Reply;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool deleted = false;
  };
  // An item as it was written.
  struct Change {
    std::uint64_t revision = 0;
    std::string key;
    Item item;
    Clock::time_point written_at;
  };
  struct Contents {
    std::map<std::string, Item> items;
    // Changes of the last `retention-s`, oldest first, and the revision of the last older one.
    std::deque<Change> history;
    std::uint64_t forgotten = 100;
    std::uint64_t revision = 100;
  };

  auto Write(const std::string& key, const Item& item) -> void;
  auto ForgetOld() -> void;
  auto Watch(const std::string& target, std::string& body) -> int;
  static auto Encode(const std::string& key, const Item& item) -> std::string;

  std::mutex mutex_;
  std::condition_variable changed_;
  Contents now_;
  Contents copy_;
  int era_ = 1;
  Server server_;
};

// A child process; killed when this object is destroyed.
class Process {
 public:
  Process(const std::vector<std::string>& command, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  auto operator=(const Process&) -> Process& = delete;

  auto Signal(int signal) const -> void;
  // Kills the process and waits for its end.
  auto Kill() -> void;
  // Returns whether the process still runs.
  auto IsRunning() -> bool;
  // Returns a figure of /proc/PID/status in kB, for example "VmHWM"; 0 if there is none.
  auto StatusKb(const std::string& name) const -> std::uint64_t;

 private:
  pid_t pid_ = -1;
};

// An entry: its settings are those of deploy/entry.yaml with the values of a small deployment.
struct EntrySpec {
  std::string id;
  std::string region = "north";
  std::string zone = "north-cr";
  std::string store;
  // Addresses of the listeners for clients, other entries, and the platform's readiness question.
  std::string front;
  std::string peers;
  std::string readiness;
  std::vector<std::string> seeds;
  double cores = 0.19;
  int memory_mb = 260;
};

// Writes the settings and starts the command of deploy/system.toml with them.
auto StartEntry(const EntrySpec& spec, const std::filesystem::path& folder)
    -> std::unique_ptr<Process>;

// Returns a loopback address whose port is free at this moment.
auto FreeAddress() -> std::string;

// Returns whether the platform would count the entry as ready, waiting for it up to `timeout`.
auto AwaitReady(const std::string& readiness, milliseconds timeout) -> bool;

// Sends the request on a connection of its own and reads the response.
auto Exchange(const std::string& address, const Request& request, milliseconds timeout) -> Reply;

// Opens a connection and sends bytes. Returns the socket, or -1 if the connection was refused.
auto OpenAndSend(const std::string& address, std::string_view bytes) -> int;

// Returns the request as bytes.
auto Format(const Request& request) -> std::string;

// Callers of requests that may run once, each on a connection that it keeps.
class KeptCallers {
 public:
  KeptCallers() = default;
  ~KeptCallers();
  KeptCallers(const KeptCallers&) = delete;
  auto operator=(const KeptCallers&) -> KeptCallers& = delete;

  // Sends requests to the path of each address by `count` callers.
  auto Start(const std::vector<std::string>& fronts, const std::string& path, int count) -> void;
  // Records that a sound replica runs the request.
  auto NoteRun(const std::string& id) -> void;
  // Ends the callers. Returns, by address, the requests on connections that had carried an answer
  // before, which a replica ran and whose connections ended without an answer.
  auto CountLost() -> std::map<std::string, int>;
  auto CountAnswered() const -> int { return answered_; }

 private:
  auto Call(const std::string& front, const std::string& path) -> void;

  std::atomic<bool> ending_ = false;
  std::atomic<int> last_id_ = 0;
  std::atomic<int> answered_ = 0;
  std::mutex mutex_;
  std::set<std::string> runs_;
  // Requests without an answer on such connections, by address.
  std::map<std::string, std::vector<std::string>> unanswered_;
  std::vector<std::thread> threads_;
};

// Sends the request on an open connection and reads the response.
auto ExchangeOn(int socket, const Request& request, milliseconds timeout) -> Reply;

// Record of what was sent, answered and run, one line each with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  auto Add(const std::string& line) -> void;

 private:
  std::mutex mutex_;
  std::ofstream out_;
  Clock::time_point start_ = Clock::now();
};

// What the script passes on: the file of the record, and whether the disruption is played.
struct Options {
  std::string record;
  bool trouble = true;
};

auto ReadOptions(int argc, char** argv) -> Options;

// Runs the case with a temporary folder that is removed afterwards. Returns its exit code, kNotRun
// after an exception.
auto RunCase(const Options& options,
             const std::function<int(Record&, const std::filesystem::path&)>& run) -> int;

// A route of the configuration in the store, as JSON. Its requests need no key if `open`.
auto RouteJson(const std::string& prefix, const std::string& type, const std::string& service,
               bool open) -> std::string;

// The configuration with these routes; `keys` belong to one tenant, "team".
auto ConfigJson(int version, const std::vector<std::string>& routes,
                const std::vector<std::string>& services, const std::vector<std::string>& keys)
    -> std::string;

// The entry of a replica in the store.
auto ReplicaJson(const std::string& service, const std::string& address, const std::string& zone,
                 int capacity) -> std::string;

// Host of all routes.
inline constexpr auto* kHost = "lots.example";

}  // namespace filbertstair::review

#endif  // FILBERTSTAIR_REVIEW_STANDINS_2_KIT_H_
