#ifndef FILBERTSTAIR_RUNTIME_SIGNAL_H_
#define FILBERTSTAIR_RUNTIME_SIGNAL_H_

#include <boost/fiber/condition_variable.hpp>
#include <chrono>
#include <mutex>

namespace filbertstair::runtime {

// Wakes one waiting fiber; may be used from any fiber of any worker. A notification without a
// waiter stays pending, and several pending notifications count as one.
class Signal {
 public:
  auto Notify() -> void;
  // Suspends the fiber until there is a notification, and consumes it.
  auto Wait() -> void;
  // Returns false if `deadline` passed without a notification.
  auto WaitUntil(std::chrono::steady_clock::time_point deadline) -> bool;

 private:
  std::mutex mutex;
  boost::fibers::condition_variable_any changed;
  bool notified = false;
};

}  // namespace filbertstair::runtime

#endif  // FILBERTSTAIR_RUNTIME_SIGNAL_H_
