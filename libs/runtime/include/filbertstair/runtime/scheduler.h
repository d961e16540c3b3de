#ifndef FILBERTSTAIR_RUNTIME_SCHEDULER_H_
#define FILBERTSTAIR_RUNTIME_SCHEDULER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/scheduler.hpp>
#include <chrono>

namespace filbertstair::runtime {

// Round-robin fiber scheduler that waits for I/O in the worker's io_context while no fiber is
// ready.
//
// Completion handlers run only in the dispatcher fiber, while no other fiber is active. The
// dispatcher is queued in the ready queue like any fiber, so I/O is polled once per scheduling
// round and busy fibers cannot starve it.
class Scheduler final : public boost::fibers::algo::algorithm {
 public:
  explicit Scheduler(boost::asio::io_context& io) : io(io) {}

  auto awakened(boost::fibers::context* ctx) noexcept -> void override;
  auto pick_next() noexcept -> boost::fibers::context* override;
  auto has_ready_fibers() const noexcept -> bool override;
  auto suspend_until(const std::chrono::steady_clock::time_point& deadline) noexcept
      -> void override;
  auto notify() noexcept -> void override;

 private:
  boost::asio::io_context& io;
  // Set by notify and cleared before waiting. Needed because the handler that notify posts may
  // already have run in the poll of pick_next, after the dispatcher last checked for fibers woken
  // by other threads.
  std::atomic<bool> notified = false;
  boost::fibers::scheduler::ready_queue_type ready;
};

}  // namespace filbertstair::runtime

#endif  // FILBERTSTAIR_RUNTIME_SCHEDULER_H_
