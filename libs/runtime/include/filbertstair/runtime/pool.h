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

// Called with an exception that escaped a fiber's task.
using ErrorHandler = std::function<void(const std::exception&)>;

namespace detail {
struct Worker;
}  // namespace detail

// Pool of worker threads. Each worker runs fibers and one I/O context, and sleeps in the latter
// while no fiber is ready.
class Pool {
 public:
  Pool(std::size_t workers, const ErrorHandler& on_error);
  ~Pool();
  Pool(const Pool&) = delete;
  auto operator=(const Pool&) -> Pool& = delete;

  auto Size() const -> std::size_t { return this->workers.size(); }

  // Runs `task` on a new fiber of worker `index`. May be called from any thread.
  auto Post(std::size_t index, Task task) -> void;

  // Ends the workers' loops once their current fibers suspend, and joins the threads. Fibers that
  // still wait are abandoned, so the process should exit soon afterwards.
  auto Stop() -> void;

 private:
  std::vector<std::unique_ptr<detail::Worker>> workers;
};

// I/O context of the worker that the caller runs on. Only valid on a worker's thread.
auto IoContext() -> boost::asio::io_context&;

// Index of the worker that the caller runs on.
auto WorkerIndex() -> std::size_t;

// Runs `task` on a new fiber of the caller's own worker.
auto Spawn(Task task) -> void;

// Suspends the calling fiber.
auto SleepFor(std::chrono::microseconds duration) -> void;

}  // namespace filbertstair::runtime

#endif  // FILBERTSTAIR_RUNTIME_POOL_H_
