#include "filbertstair/runtime/signal.h"

namespace filbertstair::runtime {

auto Signal::Notify() -> void {
  const std::lock_guard lock(this->mutex);
  this->notified = true;
  this->changed.notify_one();
}

auto Signal::Wait() -> void {
  std::unique_lock lock(this->mutex);
  this->changed.wait(lock, [this] { return this->notified; });
  this->notified = false;
}

auto Signal::WaitUntil(std::chrono::steady_clock::time_point deadline) -> bool {
  std::unique_lock lock(this->mutex);
  const bool woken = this->changed.wait_until(lock, deadline, [this] { return this->notified; });
  this->notified = false;
  return woken;
}

}  // namespace filbertstair::runtime
