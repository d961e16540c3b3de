#include "filbertstair/runtime/scheduler.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/context.hpp>

#include "filbertstair/runtime/ranked_mutex.h"

namespace filbertstair::runtime {

auto Scheduler::awakened(boost::fibers::context* ctx) noexcept -> void {
  ctx->ready_link(this->ready);
}

auto Scheduler::pick_next() noexcept -> boost::fibers::context* {
  if (boost::fibers::context::active()->is_context(boost::fibers::type::dispatcher_context)) {
    this->io.poll();
  } else {
    detail::CheckNoLockHeld();
  }
  if (this->ready.empty()) return nullptr;
  auto* next = &this->ready.front();
  this->ready.pop_front();
  return next;
}

auto Scheduler::has_ready_fibers() const noexcept -> bool { return !this->ready.empty(); }

auto Scheduler::suspend_until(const std::chrono::steady_clock::time_point& deadline) noexcept
    -> void {
  if (this->notified.exchange(false)) return;
  if (deadline == std::chrono::steady_clock::time_point::max()) {
    this->io.run_one();
  } else {
    this->io.run_one_until(deadline);
  }
}

auto Scheduler::notify() noexcept -> void {
  this->notified = true;
  boost::asio::post(this->io, [] {});
}

}  // namespace filbertstair::runtime
