#include "filbertstair/node/in_flight.h"

namespace filbertstair::node {

auto InFlight::Add() -> void {
  const std::lock_guard lock(this->mutex);
  ++this->count;
}

auto InFlight::Remove() -> void {
  const std::lock_guard lock(this->mutex);
  if (--this->count == 0) this->changed.notify_all();
}

auto InFlight::Count() -> std::size_t {
  const std::lock_guard lock(this->mutex);
  return this->count;
}

auto InFlight::WaitUntilIdle(std::chrono::steady_clock::time_point deadline) -> std::size_t {
  std::unique_lock lock(this->mutex);
  this->changed.wait_until(lock, deadline, [this] { return this->count == 0; });
  return this->count;
}

}  // namespace filbertstair::node
