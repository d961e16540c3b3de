#ifndef FILBERTSTAIR_BENCH_LOAD_H_
#define FILBERTSTAIR_BENCH_LOAD_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace filbertstair::bench {

// Callers that each send one request after the other on a kept connection.
struct LoadSpec {
  // Listeners "ip:port" and workspaces that the callers are spread over.
  std::vector<std::string> addresses;
  std::vector<std::string> workspaces;
  std::size_t callers = 1;
  // Requests of each caller; 0 for as many as fit until Stop.
  std::size_t calls = 0;
  // Time that the application stand-in takes for a call.
  std::chrono::milliseconds service{0};
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

  auto Answered() const -> std::uint64_t { return this->answered; }
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
  std::atomic<bool> stopped = false;
  std::thread thread;
};

}  // namespace filbertstair::bench

#endif  // FILBERTSTAIR_BENCH_LOAD_H_
