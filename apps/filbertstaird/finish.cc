#include "finish.h"

#include <chrono>
#include <thread>

namespace filbertstair {
namespace {

// Delay before the process exits, so that the last responses reach the kernel's socket buffers.
constexpr std::chrono::milliseconds kFlushTime{100};

// Waits until no request is in flight and the last responses have been flushed. Returns the number
// of requests still in flight at the deadline.
auto AwaitRequests(node::Node& node, core::Time deadline) -> std::size_t {
  while (true) {
    const auto left = node.in_flight.WaitUntilIdle(deadline);
    if (left > 0) return left;
    std::this_thread::sleep_for(kFlushTime);
    // A connection that was open before the listeners closed may have sent a request meanwhile.
    if (node.in_flight.Count() == 0) return 0;
  }
}

}  // namespace

auto FinishRequests(node::Node& node, const RoleActions& actions) -> std::size_t {
  const auto end = node::Now() + node.settings.drain_grace;
  node.exit_at = end;
  actions.drain();
  std::this_thread::sleep_until(node::DrainNoticeEnd(node));
#ifdef FILBERTSTAIR_BROKEN_drain_wait
  return 0;
#endif
  const auto left = AwaitRequests(node, node::ResponseStartDeadline(node));
  if (left == 0) return 0;
  actions.stop(node::StopScope::unanswered);
  if (AwaitRequests(node, end) == 0) return left;
  actions.stop(node::StopScope::all);
  std::this_thread::sleep_for(kFlushTime);
  return left;
}

}  // namespace filbertstair
