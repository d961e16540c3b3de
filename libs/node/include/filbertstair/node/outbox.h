#ifndef FILBERTSTAIR_NODE_OUTBOX_H_
#define FILBERTSTAIR_NODE_OUTBOX_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "filbertstair/runtime/ranked_mutex.h"
#include "filbertstair/runtime/signal.h"
#include "filbertstair/wire/control.h"

namespace filbertstair::node {

// Queue of control messages for one peer. Fibers of any worker push messages; the control stream's
// writer fiber sends them.
class Outbox {
 public:
  // A peer that leaves more messages unread is hung or unreachable; the outbox is closed and the
  // stream reset.
  static constexpr std::size_t kMaxMessages = 4096;

  // Appends a message; drops it if the outbox is closed.
  auto Push(wire::ControlMessage message) -> void;

  // Requests a call of ControlHandlers::push_update before the next period, for example after a
  // change of load.
  auto RequestUpdate() -> void;

  // Waits for a message, RequestUpdate, Close or the deadline. Removes and returns the messages.
  auto WaitUntil(std::chrono::steady_clock::time_point deadline)
      -> std::vector<wire::ControlMessage>;

  auto Close() -> void;
  auto IsClosed() -> bool;

 private:
  struct State {
    std::vector<wire::ControlMessage> messages;
    bool closed = false;
  };
  runtime::Guarded<State, runtime::Rank::outbox> state;
  runtime::Signal changed;
};

}  // namespace filbertstair::node

#endif  // FILBERTSTAIR_NODE_OUTBOX_H_
