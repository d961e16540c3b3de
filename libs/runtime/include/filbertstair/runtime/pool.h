#ifndef FILBERTSTAIR_RUNTIME_POOL_H_
#define FILBERTSTAIR_RUNTIME_POOL_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace filbertstair::runtime {

using Task = std::function<void()>;

// Called with an exception that escaped a task.
using ErrorHandler = std::function<void(const std::exception&)>;

namespace detail {
struct Worker;
}  // namespace detail

// Pool of worker threads. Each worker runs fibers and one I/O context, and blocks in the I/O
// context while no fiber is ready.
class Pool {
 public:
  Pool(std::size_t workers, const ErrorHandler& on_error);
  ~Pool();
  Pool(const Pool&) = delete;
  auto operator=(const Pool&) -> Pool& = delete;

  auto Size() const -> std::size_t { return this->workers.size(); }

  // Runs `task` on a new fiber of worker `index` modulo Size(). May be called from any thread.
  auto Post(std::size_t index, Task task) -> void;

  // Stops all workers once their running fibers suspend, and waits until they have stopped. Fibers
  // and tasks that have not finished are abandoned and the threads block forever, so the process
  // should exit soon afterwards.
  auto Stop() -> void;

 private:
  std::vector<std::unique_ptr<detail::Worker>> workers;
};

// Returns the I/O context of the caller's worker. Only valid on a worker's thread.
auto IoContext() -> boost::asio::io_context&;

// Returns the index of the caller's worker. Only valid on a worker's thread.
auto WorkerIndex() -> std::size_t;

// Runs `task` on a new fiber of the caller's worker.
auto Spawn(Task task) -> void;

// Suspends the calling fiber for at least `duration`.
auto SleepFor(std::chrono::microseconds duration) -> void;

}  // namespace filbertstair::runtime

#endif  // FILBERTSTAIR_RUNTIME_POOL_H_
