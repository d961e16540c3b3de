#include "filbertstair/runtime/pool.h"

#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <deque>
#include <exception>
#include <future>
#include <mutex>
#include <thread>

#include "filbertstair/runtime/scheduler.h"
#include "filbertstair/runtime/signal.h"

namespace filbertstair::runtime {
namespace detail {

struct Worker {
  std::size_t index = 0;
  ErrorHandler on_error;
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
  std::mutex mutex;
  std::deque<Task> tasks;
  bool stopping = false;
  Signal posted;
  std::promise<void> stopped;
};

}  // namespace detail

namespace {

// Boost.Fiber's default of at most 64 KiB is too small for TLS handshakes, protobuf and Beast.
constexpr std::size_t kStackBytes = std::size_t{128} * 1024;

thread_local detail::Worker* current_worker = nullptr;

auto RunTask(const Task& task, const ErrorHandler& on_error) -> void {
  try {
    task();
  } catch (const std::exception& error) {
    on_error(error);
  }
}

auto StartFiber(Task task) -> void {
  boost::fibers::fiber(
      boost::fibers::launch::post, std::allocator_arg, boost::fibers::default_stack(kStackBytes),
      [task = std::move(task), worker = current_worker] { RunTask(task, worker->on_error); })
      .detach();
}

auto TakePostedTasks(detail::Worker& worker, bool& stopping) -> std::deque<Task> {
  const std::lock_guard lock(worker.mutex);
  stopping = worker.stopping;
  return std::exchange(worker.tasks, {});
}

auto RunWorker(detail::Worker& worker) -> void {
  current_worker = &worker;
  boost::fibers::use_scheduling_algorithm<Scheduler>(worker.io);
  bool stopping = false;
  while (!stopping) {
    worker.posted.Wait();
    for (auto& task : TakePostedTasks(worker, stopping)) StartFiber(std::move(task));
  }
  // Returning would make Boost.Fiber wait for every fiber to end, and some wait for I/O that never
  // completes. The thread blocks instead, so that none of its fibers runs again.
  worker.stopped.set_value();
  while (true) pause();
}

}  // namespace

Pool::Pool(std::size_t workers, const ErrorHandler& on_error) {
  for (std::size_t i = 0; i < workers; ++i) {
    auto worker = std::make_unique<detail::Worker>();
    worker->index = i;
    worker->on_error = on_error;
    std::thread([w = worker.get()] { RunWorker(*w); }).detach();
    this->workers.push_back(std::move(worker));
  }
}

Pool::~Pool() { this->Stop(); }

auto Pool::Post(std::size_t index, Task task) -> void {
  auto& worker = *this->workers.at(index % this->workers.size());
  {
    const std::lock_guard lock(worker.mutex);
    worker.tasks.push_back(std::move(task));
  }
  worker.posted.Notify();
}

auto Pool::Stop() -> void {
  for (auto& worker : this->workers) {
    {
      const std::lock_guard lock(worker->mutex);
      worker->stopping = true;
    }
    worker->posted.Notify();
  }
  for (auto& worker : this->workers) {
    worker->stopped.get_future().get();
    // The blocked thread still refers to its worker, so the worker is leaked.
    static_cast<void>(worker.release());
  }
  this->workers.clear();
}

auto IoContext() -> boost::asio::io_context& { return current_worker->io; }

auto WorkerIndex() -> std::size_t { return current_worker->index; }

auto Spawn(Task task) -> void { StartFiber(std::move(task)); }

auto SleepFor(std::chrono::microseconds duration) -> void {
  boost::this_fiber::sleep_for(duration);
}

}  // namespace filbertstair::runtime
