#ifndef FILBERTSTAIR_BENCH_LOAD_H_
#define FILBERTSTAIR_BENCH_LOAD_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace filbertstair::bench {

// Headers of a workspace's request with a serial number that no other request of the load has.
using MakeHeaders = std::function<std::vector<std::pair<std::string, std::string>>(
    const std::string& workspace, std::uint64_t serial)>;

// Callers that each send one request after the other.
struct LoadSpec {
  // Listeners "ip:port" and workspaces that the callers are spread over.
  std::vector<std::string> addresses;
  std::vector<std::string> workspaces;
  std::size_t callers = 1;
  // Requests of each caller; 0 for as many as fit until Stop.
  std::size_t calls = 0;
  std::string method = "GET";
  std::string target;
  std::string host;
  MakeHeaders headers;
  std::string body;
  // Whether each request has a connection of its own; otherwise connections are kept.
  bool reconnect = false;
};

struct LoadResult {
  // Times from sending to the end of the answer, of requests that were answered with 200.
  std::vector<std::chrono::microseconds> latencies;
  // Answers with another status.
  std::uint64_t refused = 0;
  // Connections that failed.
  std::uint64_t failed = 0;
};

// Load of one thread of its own.
class Load {
 public:
  explicit Load(LoadSpec spec);
  Load(const Load&) = delete;
  auto operator=(const Load&) -> Load& = delete;
  ~Load();

  // Requests answered with 200 and with another status so far.
  auto Answered() const -> std::uint64_t { return this->answered; }
  auto Refused() const -> std::uint64_t { return this->refused; }
  // Waits until each caller has sent all its requests.
  auto Wait() -> LoadResult;
  // Lets each caller end its current request and waits.
  auto Stop() -> LoadResult;

 private:
  struct Caller;
  auto Run() -> void;

  LoadSpec spec;
  LoadResult result;
  std::atomic<std::uint64_t> answered = 0;
  std::atomic<std::uint64_t> refused = 0;
  // Requests sent; used by the thread only.
  std::uint64_t serial = 0;
  std::atomic<bool> stopped = false;
  std::thread thread;
};

}  // namespace filbertstair::bench

#endif  // FILBERTSTAIR_BENCH_LOAD_H_
