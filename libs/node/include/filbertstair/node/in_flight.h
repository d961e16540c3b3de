#ifndef FILBERTSTAIR_NODE_IN_FLIGHT_H_
#define FILBERTSTAIR_NODE_IN_FLIGHT_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <set>
#include <utility>

namespace filbertstair::node {

// Counts the requests that a process has accepted and not finished, for graceful shutdown.
// Thread-safe.
class InFlight {
 public:
  auto Add() -> void;
  auto Remove() -> void;
  auto Count() -> std::size_t;

  // Blocks the calling thread until no request is in flight or the deadline has passed. Returns the
  // number of requests still in flight. Must not be called on a worker.
  auto WaitUntilIdle(std::chrono::steady_clock::time_point deadline) -> std::size_t;

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t count = 0;
};

// Counts one request as in flight for the lifetime of the guard.
struct InFlightGuard {
  explicit InFlightGuard(InFlight& count) : count(count) { this->count.Add(); }
  ~InFlightGuard() { this->count.Remove(); }
  InFlightGuard(const InFlightGuard&) = delete;
  auto operator=(const InFlightGuard&) -> InFlightGuard& = delete;

  InFlight& count;
};

// Keeps a request in its worker's list of requests for the lifetime of the guard.
template <typename Request>
struct RegistrationGuard {
  using List = std::set<std::shared_ptr<Request>>;

  RegistrationGuard(List& list, std::shared_ptr<Request> request)
      : list(list), request(std::move(request)) {
    this->list.insert(this->request);
  }
  ~RegistrationGuard() { this->list.erase(this->request); }
  RegistrationGuard(const RegistrationGuard&) = delete;
  auto operator=(const RegistrationGuard&) -> RegistrationGuard& = delete;

  List& list;
  const std::shared_ptr<Request> request;
};

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_IN_FLIGHT_H_
